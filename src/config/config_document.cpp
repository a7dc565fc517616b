/**
 * @file config_document.cpp
 * Encoding of the change history and comparison of document bodies.
 */
#include "config/config_document_base.h"

#include "config/ini_edit_func.h"
#include "settings/ini_func.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <ranges>

namespace waxwing {
namespace {

using Json = nlohmann::json;

constexpr std::string_view HistoryLinePrefix = ";@ ";
constexpr std::string_view HistoryEndLine = ";@ end\n";

Json toJson(const std::optional<std::string> &value) {
  return value ? Json(*value) : Json();
}

std::optional<std::string> toOptionalString(const Json &json) {
  if (json.is_null())
    return std::nullopt;
  return json.get<std::string>();
}

std::string encodeRecordLine(const ChangeRecord &record) {
  Json values = Json::array();
  for (const ValueChange &value : record.Values)
    values.push_back({value.Path, toJson(value.Old), toJson(value.New)});
  const Json line{record.Change,   record.Fingerprint, record.Base.Value,
                  record.WallTime, record.Author,      values};
  return std::string(HistoryLinePrefix) +
         line.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::optional<ChangeRecord> decodeRecordLine(std::string_view line) {
  try {
    const Json json = Json::parse(line);
    ChangeRecord record{json.at(0).get<std::string>(),
                        json.at(1).get<std::string>(),
                        Revision(json.at(2).get<std::uint64_t>()),
                        json.at(3).get<std::string>(),
                        json.at(4).get<std::string>(),
                        {}};
    for (const Json &value : json.at(5))
      record.Values.push_back({value.at(0).get<std::string>(),
                               toOptionalString(value.at(1)),
                               toOptionalString(value.at(2))});
    return record;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

using ValuesByPath = std::map<std::string, std::string>;

/// @return values by path; each section is included as a value too, so that
///   adding or removing an empty section counts as a change
absl::StatusOr<ValuesByPath> readValues(const std::string &body) {
  auto document = parseIni(body, "document");
  if (!document.ok())
    return document.status();
  ValuesByPath values;
  for (const IniSection &section : document->Sections)
    values[sectionPath(section.Name)] = "section";
  for (const IniEntry &entry : document->Entries)
    values[sectionPath(entry.Section) + "/" + entry.Key] = entry.Value;
  return values;
}

/// @return the value at @p path, HiddenValue for a secret, nothing if not set
std::optional<std::string> displayedValue(const ValuesByPath &values,
                                          const std::string &path) {
  const auto it = values.find(path);
  if (it == values.end())
    return std::nullopt;
  if (isSecretKey(path))
    return std::string(HiddenValue);
  return it->second;
}

} // namespace

ConfigDocument splitDocument(const std::string &text) {
  ConfigDocument document;
  if (!text.starts_with(HistoryLinePrefix)) {
    document.Body = text;
    return document;
  }
  std::string_view rest = text;
  while (rest.starts_with(HistoryLinePrefix)) {
    if (rest.starts_with(HistoryEndLine)) {
      document.Body = rest.substr(HistoryEndLine.size());
      return document;
    }
    const auto end = rest.find('\n');
    if (end == std::string_view::npos)
      break;
    auto record = decodeRecordLine(
        rest.substr(HistoryLinePrefix.size(), end - HistoryLinePrefix.size()));
    if (record)
      document.History.push_back(*std::move(record));
    rest.remove_prefix(end + 1);
  }
  // Without the end line, lines that look like history are comments in the
  // body.
  return {{}, text};
}

std::string joinDocument(const ConfigDocument &document) {
  std::vector<std::string> lines;
  std::size_t bytes = 0;
  for (auto it = document.History.rbegin(); it != document.History.rend();
       ++it) {
    std::string line = encodeRecordLine(*it);
    bytes += line.size();
    const bool isLast = lines.empty();
    if (!isLast &&
        (bytes > MaxHistoryBytes || lines.size() >= MaxHistoryRecords))
      break;
    lines.push_back(std::move(line));
  }
  std::string text;
  for (auto it = lines.rbegin(); it != lines.rend(); ++it)
    text += *it;
  text += HistoryEndLine;
  return text + document.Body;
}

Revision revisionOfRecord(const ConfigDocument &document, std::size_t n,
                          Revision rev) {
  return n + 1 < document.History.size() ? document.History[n + 1].Base : rev;
}

std::optional<std::size_t> findChangeRecord(const ConfigDocument &document,
                                            const std::string &change) {
  const auto it =
      std::ranges::find(document.History, change, &ChangeRecord::Change);
  if (it == document.History.end())
    return std::nullopt;
  return static_cast<std::size_t>(it - document.History.begin());
}

bool isFormerState(const std::string &older, const std::string &newer) {
  const ConfigDocument former = splitDocument(older);
  const ConfigDocument present = splitDocument(newer);
  if (former.History.empty())
    return false;
  const auto n = findChangeRecord(present, former.History.back().Change);
  return n && *n + 1 < present.History.size();
}

bool pathsOverlap(std::string_view a, std::string_view b) {
  if (a.size() > b.size())
    std::swap(a, b);
  return b.starts_with(a) &&
         (a.empty() || a.size() == b.size() || b[a.size()] == '/');
}

bool isSecretKey(std::string_view key) { return key.ends_with("sha256"); }

absl::StatusOr<std::vector<ValueChange>>
compareBodies(const std::string &before, const std::string &after) {
  auto newer = readValues(after);
  if (!newer.ok())
    return newer.status();
  // An invalid stored document compares as empty, so that it can be repaired.
  const ValuesByPath older = readValues(before).value_or(ValuesByPath());
  ValuesByPath merged = older;
  merged.insert(newer->begin(), newer->end());
  std::vector<ValueChange> changes;
  for (const auto &[path, value] : merged) {
    const auto was = older.find(path);
    const auto is = newer->find(path);
    const bool isSame =
        was != older.end() && is != newer->end() && was->second == is->second;
    if (!isSame)
      changes.push_back(
          {path, displayedValue(older, path), displayedValue(*newer, path)});
  }
  return changes;
}

absl::StatusOr<std::string> hideSecrets(const std::string &body) {
  auto document = parseIni(body, "document");
  if (!document.ok())
    return document.status();
  IniText text(body);
  // From the last entry to the first: replacing an entry of several lines
  // shifts the line numbers of those after it.
  for (const IniEntry &entry : document->Entries | std::views::reverse)
    if (isSecretKey(entry.Key))
      text.replaceEntry(entry, entry.Key + " = " + std::string(HiddenValue));
  return text.join();
}

} // namespace waxwing
