import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects as maps, arrays as lists, whole numbers as Long, others as Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at < text.length()) throw new IllegalArgumentException("text after the JSON value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        try {
            Object value = parse(text);
            return value instanceof Map ? (Map<String, Object>) value : Map.of();
        } catch (RuntimeException e) {
            return Map.of();
        }
    }

    /** Returns a map of alternating keys and values. */
    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            String separator = "[";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(list.isEmpty() ? "[]" : "]");
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        return switch (c) {
            case '{' -> objectValue();
            case '[' -> arrayValue();
            case '"' -> stringValue();
            default -> plainValue();
        };
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        while (text.charAt(at) != '}') {
            space();
            String key = stringValue();
            space();
            expect(':');
            map.put(key, value());
            space();
            if (text.charAt(at) == ',') at++;
        }
        at++;
        return map;
    }

    private List<Object> arrayValue() {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        while (text.charAt(at) != ']') {
            list.add(value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return list;
    }

    private String stringValue() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    private Object plainValue() {
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
        };
    }

    private void expect(char c) {
        if (text.charAt(at) != c) throw new IllegalArgumentException("expected " + c + " at " + at);
        at++;
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
