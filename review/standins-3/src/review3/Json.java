package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes the JSON of the platform's messages. Whole numbers are read as Long, others as Double. */
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
        if (json.at != text.length()) throw new IllegalArgumentException("text after the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static String write(Object value) {
        if (value == null || value instanceof Number || value instanceof Boolean) return "" + value;
        if (value instanceof Map<?, ?> map) {
            List<String> fields = new ArrayList<>();
            map.forEach((key, field) -> fields.add(write("" + key) + ":" + write(field)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof Iterable<?> items) {
            List<String> written = new ArrayList<>();
            items.forEach(item -> written.add(write(item)));
            return "[" + String.join(",", written) + "]";
        }
        return "\"" + value.toString().replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return objectValue();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\t\r".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        for (space(); text.charAt(at) != '}'; space()) {
            if (text.charAt(at) == ',') at++;
            space();
            String key = string();
            space();
            at++;
            fields.put(key, value());
        }
        at++;
        return fields;
    }

    private List<Object> list() {
        List<Object> items = new ArrayList<>();
        at++;
        for (space(); text.charAt(at) != ']'; space()) {
            if (text.charAt(at) == ',') at++;
            items.add(value());
        }
        at++;
        return items;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        for (; text.charAt(at) != '"'; at++) {
            if (text.charAt(at) != '\\') {
                out.append(text.charAt(at));
                continue;
            }
            at++;
            switch (text.charAt(at)) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                    at += 4;
                }
                default -> out.append(text.charAt(at));
            }
        }
        at++;
        return out.toString();
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
