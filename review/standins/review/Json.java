package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Parses {@code text}; throws IllegalArgumentException if it is not one JSON value. */
    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw json.error("text after the value");
        return value;
    }

    /** Parses {@code text}, which holds an object. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Returns a map of alternating keys and values. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    /** Writes {@code value} as JSON. */
    static String text(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"').append(string.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        space();
        if (at >= text.length()) throw error("end of text");
        char next = text.charAt(at);
        if (next == '{') return readObject();
        if (next == '[') return readArray();
        if (next == '"') return readString();
        for (String word : List.of("true", "false", "null")) {
            if (text.startsWith(word, at)) {
                at += word.length();
                return word.equals("null") ? null : Boolean.valueOf(word);
            }
        }
        int start = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) at++;
        String number = text.substring(start, at);
        try {
            return number.matches("-?\\d+") ? (Object) Long.valueOf(number) : (Object) Double.valueOf(number);
        } catch (NumberFormatException e) {
            throw error("unexpected character");
        }
    }

    private Map<String, Object> readObject() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        if (peek('}')) return map;
        do {
            space();
            String key = readString();
            space();
            if (!peek(':')) throw error("no colon");
            map.put(key, value());
            space();
        } while (peek(','));
        if (!peek('}')) throw error("no closing brace");
        return map;
    }

    private List<Object> readArray() {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        if (peek(']')) return list;
        do {
            list.add(value());
            space();
        } while (peek(','));
        if (!peek(']')) throw error("no closing bracket");
        return list;
    }

    private String readString() {
        if (!peek('"')) throw error("no string");
        StringBuilder out = new StringBuilder();
        while (at < text.length() && text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next == '\\') {
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
            } else {
                out.append(next);
            }
        }
        if (!peek('"')) throw error("no end of string");
        return out.toString();
    }

    private boolean peek(char wanted) {
        if (at < text.length() && text.charAt(at) == wanted) {
            at++;
            return true;
        }
        return false;
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private IllegalArgumentException error(String what) {
        return new IllegalArgumentException(what + " at " + at);
    }
}
