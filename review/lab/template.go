// Package lab starts cardamomwickd as separate processes on loopback addresses, with
// settings rendered from the project's template, and has stand-ins for engines, the
// operator and clients.
package lab

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// render fills a settings template with fields: {{a.b}}, {{a|json}}, sections {{#a}}..{{/a}}
// and {{^a}}..{{/a}}, and {{,}} between the entries of a list.
func render(text string, fields map[string]any) string { return renderIn(text, fields, fields, "") }

func renderIn(text string, fields map[string]any, entry any, comma string) string {
	var out strings.Builder
	for {
		begin := strings.Index(text, "{{")
		if begin < 0 {
			out.WriteString(text)
			return out.String()
		}
		end := strings.Index(text[begin:], "}}") + begin
		out.WriteString(text[:begin])
		name := text[begin+2 : end]
		text = text[end+2:]
		switch {
		case name == ",":
			out.WriteString(comma)
		case strings.HasPrefix(name, "#"), strings.HasPrefix(name, "^"):
			closing := "{{/" + name[1:] + "}}"
			stop := strings.Index(text, closing)
			body := text[:stop]
			text = text[stop+len(closing):]
			out.WriteString(section(name, body, fields, lookUp(name[1:], fields, entry)))
		default:
			field, asJSON := strings.CutSuffix(name, "|json")
			out.WriteString(value(lookUp(field, fields, entry), asJSON))
		}
	}
}

func section(name, body string, fields map[string]any, v any) string {
	present := v != nil && v != false && v != ""
	if name[0] == '^' {
		if present {
			return ""
		}
		return renderIn(body, fields, fields, "")
	}
	list, isList := v.([]string)
	if !isList {
		if !present {
			return ""
		}
		return renderIn(body, fields, fields, "")
	}
	var out strings.Builder
	for i, x := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		out.WriteString(renderIn(body, fields, x, comma))
	}
	return out.String()
}

func lookUp(name string, fields map[string]any, entry any) any {
	if name == "." {
		return entry
	}
	var v any = fields
	for part := range strings.SplitSeq(name, ".") {
		switch x := v.(type) {
		case map[string]any:
			v = x[part]
		case []string:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(x) {
				return nil
			}
			v = x[i]
		default:
			return nil
		}
	}
	return v
}

func value(v any, asJSON bool) string {
	if asJSON {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err) // the fields are plain data
		}
		return string(data)
	}
	switch x := v.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(x, ",")
	case map[string]any:
		var names []string
		for name := range x {
			names = append(names, name)
		}
		sort.Strings(names)
		return strings.Join(names, ",")
	}
	return fmt.Sprint(v)
}
