import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer; objects are maps, integers are longs. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(at);
        switch (c) {
            case '{': {
                Map<String, Object> map = new LinkedHashMap<>();
                at++;
                skipSpace();
                while (text.charAt(at) != '}') {
                    skipSpace();
                    String key = string();
                    skipSpace();
                    at++;
                    map.put(key, value());
                    skipSpace();
                    if (text.charAt(at) == ',') at++;
                    skipSpace();
                }
                at++;
                return map;
            }
            case '[': {
                List<Object> list = new ArrayList<>();
                at++;
                skipSpace();
                while (text.charAt(at) != ']') {
                    list.add(value());
                    skipSpace();
                    if (text.charAt(at) == ',') at++;
                    skipSpace();
                }
                at++;
                return list;
            }
            case '"':
                return string();
            case 't':
                at += 4;
                return true;
            case 'f':
                at += 5;
                return false;
            case 'n':
                at += 4;
                return null;
            default: {
                int from = at;
                while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) at++;
                String number = text.substring(from, at);
                if (number.matches("-?[0-9]+")) return Long.parseLong(number);
                return Double.parseDouble(number);
            }
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n': out.append('\n'); break;
                case 't': out.append('\t'); break;
                case 'r': out.append('\r'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u':
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: out.append(e);
            }
        }
        at++;
        return out.toString();
    }

    private void skipSpace() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            String separator = "{";
            for (Map.Entry<?, ?> e : ((Map<?, ?>) value).entrySet()) {
                out.append(separator);
                write(e.getKey(), out);
                out.append(':');
                write(e.getValue(), out);
                separator = ",";
            }
            out.append(separator.equals("{") ? "{}" : "}");
        } else if (value instanceof Iterable) {
            String separator = "[";
            for (Object o : (Iterable<?>) value) {
                out.append(separator);
                write(o, out);
                separator = ",";
            }
            out.append(separator.equals("[") ? "[]" : "]");
        } else if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    /** Returns an object of alternating keys and values. */
    static Map<String, Object> of(Object... entries) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < entries.length; i += 2) map.put((String) entries[i], entries[i + 1]);
        return map;
    }

    static long number(Map<String, Object> map, String key, long otherwise) {
        Object value = map.get(key);
        return value instanceof Number ? ((Number) value).longValue() : otherwise;
    }
}
