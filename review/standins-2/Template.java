import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

/** Fills in the template of the settings from the fields of the platform, as DEPLOY.md describes it. */
final class Template {
    private final String text;
    private final Deque<Scope> scopes = new ArrayDeque<>();

    private record Scope(String key, JsonNode entry, boolean last) {}

    private record Entry(String key, JsonNode value) {}

    private Template(String text) {
        this.text = text;
    }

    static String fill(String template, JsonNode fields) {
        Template filled = new Template(template);
        filled.scopes.push(new Scope("", fields, true));
        return filled.render(0, template.length());
    }

    private String render(int from, int to) {
        StringBuilder out = new StringBuilder();
        int at = from;
        while (true) {
            int open = text.indexOf("{{", at);
            if (open < 0 || open >= to) {
                return out.append(text, at, to).toString();
            }
            out.append(text, at, open);
            int close = text.indexOf("}}", open);
            String tag = text.substring(open + 2, close);
            at = close + 2;
            if (tag.startsWith("#") || tag.startsWith("^")) {
                String end = "{{/" + tag.substring(1) + "}}";
                int endAt = text.indexOf(end, at);
                JsonNode value = find(tag.substring(1));
                if (tag.startsWith("#")) {
                    section(out, value, at, endAt);
                } else if (isAbsent(value)) {
                    out.append(render(at, endAt));
                }
                at = endAt + end.length();
            } else {
                out.append(placeholder(tag));
            }
        }
    }

    private void section(StringBuilder out, JsonNode value, int from, int to) {
        if (isAbsent(value)) {
            return;
        }
        List<Entry> entries = new ArrayList<>();
        if (value.isObject()) {
            for (Map.Entry<String, JsonNode> field : value.properties()) {
                entries.add(new Entry(field.getKey(), field.getValue()));
            }
        } else if (value.isArray()) {
            for (int i = 0; i < value.size(); i++) {
                entries.add(new Entry(Integer.toString(i), value.get(i)));
            }
        } else {
            entries.add(new Entry("", value));
        }
        for (int i = 0; i < entries.size(); i++) {
            scopes.push(new Scope(entries.get(i).key(), entries.get(i).value(), i == entries.size() - 1));
            out.append(render(from, to));
            scopes.pop();
        }
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isMissingNode() || value.isNull() || (value.isBoolean() && !value.asBoolean());
    }

    private String placeholder(String tag) {
        if (tag.equals(",")) {
            return scopes.peek().last() ? "" : ",";
        }
        if (tag.equals("@")) {
            return scopes.peek().key();
        }
        JsonNode value = find(tag);
        if (value.isArray()) {
            return StreamSupport.stream(value.spliterator(), false)
                    .map(JsonNode::asText)
                    .collect(Collectors.joining(","));
        }
        return value.isObject() ? value.toString() : isNone(value) ? "" : value.asText();
    }

    private static boolean isNone(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    private JsonNode find(String path) {
        if (path.equals(".")) {
            return scopes.peek().entry();
        }
        for (Scope scope : scopes) {
            JsonNode value = scope.entry();
            for (String part : path.split("\\.")) {
                value = value.isArray() ? value.path(Integer.parseInt(part)) : value.path(part);
            }
            if (!value.isMissingNode()) {
                return value;
            }
        }
        return com.fasterxml.jackson.databind.node.MissingNode.getInstance();
    }
}
