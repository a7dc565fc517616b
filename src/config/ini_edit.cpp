/**
 * @file ini_edit.cpp
 * Edits an INI text by the line numbers that the parser reports.
 */
#include "config/ini_edit_func.h"

#include "settings/ini_func.h"

#include <absl/status/status.h>
#include <algorithm>
#include <fmt/format.h>

namespace waxwing {
namespace {

/// Name of the text in parser errors.
constexpr const char *IniSourceName = "document";

const IniEntry *findEntry(const IniDocument &document,
                          const std::string &section, const std::string &key) {
  const auto it =
      std::ranges::find_if(document.Entries, [&](const IniEntry &entry) {
        return entry.Section == section && entry.Key == key;
      });
  return it == document.Entries.end() ? nullptr : &*it;
}

/// @return line after which to insert a new key of @p section, 0 if the section
///   does not exist
int lastLineOfSection(const IniDocument &document, const std::string &section) {
  int line = 0;
  for (const IniSection &it : document.Sections)
    if (it.Name == section)
      line = std::max(line, it.Line);
  for (const IniEntry &it : document.Entries)
    if (it.Section == section)
      line = std::max(line, it.LastLine);
  return line;
}

absl::Status notFound(const std::string &section, const std::string &key) {
  return absl::NotFoundError(
      key.empty() ? fmt::format("[{}] does not exist", section)
                  : fmt::format("[{}] {} is not set", section, key));
}

} // namespace

IniText::IniText(const std::string &text) {
  std::size_t start = 0;
  while (start < text.size()) {
    const auto end = std::min(text.find('\n', start), text.size());
    Lines.push_back(text.substr(start, end - start));
    start = end + 1;
  }
}

std::string IniText::join() const {
  std::string text;
  for (const std::string &line : Lines)
    text += line + "\n";
  return text;
}

void IniText::replaceEntry(const IniEntry &entry, std::string text) {
  if (entry.LastLine > entry.Line)
    removeLines(entry.Line + 1, entry.LastLine);
  Lines[static_cast<std::size_t>(entry.Line) - 1] = std::move(text);
}

void IniText::insertAfter(int line, std::string text) {
  Lines.insert(Lines.begin() + line, std::move(text));
}

void IniText::removeLines(int first, int last) {
  Lines.erase(Lines.begin() + first - 1, Lines.begin() + last);
}

std::string sectionPath(const std::string &section) {
  std::string path = section;
  const auto space = path.find(' ');
  if (space != std::string::npos)
    path[space] = '/';
  return path;
}

absl::StatusOr<std::string> setIniValue(const std::string &text,
                                        const std::string &section,
                                        const std::string &key,
                                        const std::string &value) {
  const auto document = parseIni(text, IniSourceName);
  if (!document.ok())
    return document.status();
  IniText lines(text);
  const std::string line = key + " = " + value;
  if (const IniEntry *entry = findEntry(*document, section, key))
    lines.replaceEntry(*entry, line);
  else if (const int last = lastLineOfSection(*document, section); last > 0)
    lines.insertAfter(last, line);
  else {
    lines.insertAfter(lines.lineCount(), "[" + section + "]");
    lines.insertAfter(lines.lineCount(), line);
  }
  std::string result = lines.join();
  const auto readBack = findIniValue(result, section, key);
  if (!readBack.ok() || *readBack != value)
    return absl::InvalidArgumentError(fmt::format(
        "[{}] {}: the value does not fit on one INI line; line breaks, "
        "' ;' and leading or trailing blanks are not allowed",
        section, key));
  return result;
}

absl::StatusOr<std::string> removeIniValue(const std::string &text,
                                           const std::string &section,
                                           const std::string &key) {
  const auto document = parseIni(text, IniSourceName);
  if (!document.ok())
    return document.status();
  const IniEntry *entry = findEntry(*document, section, key);
  if (entry == nullptr)
    return notFound(section, key);
  IniText lines(text);
  lines.removeLines(entry->Line, entry->LastLine);
  return lines.join();
}

absl::StatusOr<std::string> removeIniSection(const std::string &text,
                                             const std::string &section) {
  const auto document = parseIni(text, IniSourceName);
  if (!document.ok())
    return document.status();
  IniText lines(text);
  bool isFound = false;
  // From the last section to the first: removing lines shifts the numbers of
  // those after them.
  int end = lines.lineCount();
  for (auto it = document->Sections.rbegin(); it != document->Sections.rend();
       ++it) {
    if (it->Name == section) {
      lines.removeLines(it->Line, end);
      isFound = true;
    }
    end = it->Line - 1;
  }
  if (!isFound)
    return notFound(section, "");
  return lines.join();
}

absl::StatusOr<std::string> findIniValue(const std::string &text,
                                         const std::string &section,
                                         const std::string &key) {
  const auto document = parseIni(text, IniSourceName);
  if (!document.ok())
    return document.status();
  const IniEntry *entry = findEntry(*document, section, key);
  if (entry == nullptr)
    return notFound(section, key);
  return entry->Value;
}

} // namespace waxwing
