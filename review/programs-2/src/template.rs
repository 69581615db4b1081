//! Fills in a settings template as `DEPLOY.md` describes it: values, sections, and inverted sections.

use serde_json::Value;

/// Returns the template with its placeholders replaced by the fields of `context`.
pub fn render(template: &str, context: &Value) -> Result<String, String> {
    let mut out = String::new();
    render_part(template, &[context], false, &mut out)?;
    Ok(out)
}

fn render_part(
    mut text: &str,
    scopes: &[&Value],
    is_last: bool,
    out: &mut String,
) -> Result<(), String> {
    while let Some(start) = text.find("{{") {
        out.push_str(&text[..start]);
        let end = start + text[start..].find("}}").ok_or("a placeholder has no end")?;
        let tag = text[start + 2..end].trim();
        text = &text[end + 2..];
        let Some(name) = tag.strip_prefix(['#', '^']) else {
            push_value(tag, scopes, is_last, out);
            continue;
        };
        let close = format!("{{{{/{name}}}}}");
        let length = text.find(&close).ok_or_else(|| format!("the section {name} has no end"))?;
        let inner = &text[..length];
        text = &text[length + close.len()..];
        let value = lookup(name, scopes);
        let is_present = value.is_some_and(|v| !matches!(v, Value::Null | Value::Bool(false)));
        if tag.starts_with('^') {
            if !is_present {
                render_part(inner, scopes, false, out)?;
            }
            continue;
        }
        match value.filter(|_| is_present) {
            Some(Value::Array(entries)) => {
                for (index, entry) in entries.iter().enumerate() {
                    let inside: Vec<&Value> = scopes.iter().copied().chain([entry]).collect();
                    render_part(inner, &inside, index + 1 == entries.len(), out)?;
                }
            }
            Some(entry) => {
                let inside: Vec<&Value> = scopes.iter().copied().chain([entry]).collect();
                render_part(inner, &inside, true, out)?;
            }
            None => {}
        }
    }
    out.push_str(text);
    Ok(())
}

fn push_value(tag: &str, scopes: &[&Value], is_last: bool, out: &mut String) {
    if tag == "," {
        out.push_str(if is_last { "" } else { "," });
        return;
    }
    let (name, is_json) = match tag.strip_suffix("|json") {
        Some(name) => (name.trim(), true),
        None => (tag, false),
    };
    match lookup(name, scopes) {
        Some(value) if is_json => out.push_str(&value.to_string()),
        Some(Value::String(text)) => out.push_str(text),
        Some(Value::Null) | None => {}
        Some(value) => out.push_str(&value.to_string()),
    }
}

fn lookup<'a>(name: &str, scopes: &[&'a Value]) -> Option<&'a Value> {
    if name == "." {
        return scopes.last().copied();
    }
    scopes.iter().rev().find_map(|scope| {
        name.split('.').try_fold(*scope, |value, part| match part.parse::<usize>() {
            Ok(index) => value.get(index),
            Err(_) => value.get(part),
        })
    })
}
