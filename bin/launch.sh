# Sourced by the launchers: finds the jars that Maven built and replaces the shell with the JVM.

# Usage: launch MODULE MAIN_CLASS JVM_OPTIONS ARGUMENTS...
launch() {
  local module=$1 main_class=$2 jvm_options=$3
  shift 3
  local root
  root=$(cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/.." && pwd)
  local target="$root/$module/target"
  local jars=("$target"/*"$module"-*.jar)
  if [[ ! -f "${jars[0]}" || ! -d "$target/lib" ]]; then
    echo "$module is not built; run: mvn -B package -DskipTests" >&2
    exit 1
  fi
  # Both variables hold several options separated by spaces.
  # shellcheck disable=SC2086
  exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" $jvm_options ${AUBURN_JAVA_OPTS:-} \
    -cp "${jars[0]}" "$main_class" "$@"
}
