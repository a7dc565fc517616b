/**
 * @file ini.cpp
 * INI parsing with the inih library, which no other file uses.
 */
#include "settings/ini_func.h"

#include <absl/status/status.h>
#include <algorithm>
#include <fmt/format.h>
#include <ini.h>
#include <map>
#include <utility>

namespace waxwing {
namespace {

/// State of one parse, passed to the inih callbacks as user data.
struct IniParseState {
  const std::string &Text;
  std::size_t Offset = 0; ///< first byte not yet passed to inih
  int Line = 0;           ///< 1-based number of the last line passed to inih
  bool IsContinuation = false; ///< the current line is indented
  IniDocument Result;
  /// Index into Result.Entries by section and key.
  std::map<std::pair<std::string, std::string>, std::size_t> EntryIndexes;
  std::string Error; ///< first error; empty if none
};

/// Records a `[name]` line. inih has no callback for section headers, so a
/// section without keys would be lost.
void recordSectionHeader(IniParseState &parse, std::string_view line) {
  line.remove_prefix(std::min(line.find_first_not_of(" \t"), line.size()));
  const auto end = line.find(']');
  if (line.starts_with('[') && end != std::string_view::npos)
    parse.Result.Sections.push_back(
        {std::string(line.substr(1, end - 1)), parse.Line});
}

/// Passes the next line of the text to inih; parameters and result are those of
/// fgets().
char *readNextLine(char *buf, int size, void *stream) {
  auto &parse = *static_cast<IniParseState *>(stream);
  if (parse.Offset >= parse.Text.size() || size < 2)
    return nullptr;
  const auto end = parse.Text.find('\n', parse.Offset);
  const auto stop = end == std::string::npos ? parse.Text.size() : end + 1;
  const auto length = stop - parse.Offset;
  ++parse.Line;
  if (length >= static_cast<std::size_t>(size)) {
    parse.Error =
        fmt::format("{}:{}: line has {} characters, at most {} are allowed; "
                    "continue a value on indented lines",
                    parse.Result.Source, parse.Line, length, size - 1);
    return nullptr;
  }
  std::copy_n(parse.Text.data() + parse.Offset, length, buf);
  buf[length] = '\0';
  parse.Offset += length;
  parse.IsContinuation = *buf == ' ' || *buf == '\t';
  recordSectionHeader(parse, buf);
  return buf;
}

int addEntry(void *user, const char *section, const char *key,
             const char *value) {
  auto &parse = *static_cast<IniParseState *>(user);
  auto &entries = parse.Result.Entries;
  const auto [it, isNew] =
      parse.EntryIndexes.try_emplace({section, key}, entries.size());
  IniEntry *previous = isNew ? nullptr : &entries[it->second];
  if (previous != nullptr && parse.IsContinuation) {
    previous->Value +=
        (previous->Value.empty() ? "" : " ") + std::string(value);
    previous->LastLine = parse.Line;
    return 1;
  }
  if (previous != nullptr) {
    parse.Error = fmt::format(
        "{}:{}: key '{}' is defined twice in section [{}], first in line {}",
        parse.Result.Source, parse.Line, key, section, previous->Line);
    return 0;
  }
  entries.push_back({section, key, value, parse.Line, parse.Line});
  return 1;
}

} // namespace

absl::StatusOr<IniDocument> parseIni(const std::string &text,
                                     const std::string &source) {
  IniParseState parse{text};
  parse.Result.Source = source;
  const int line = ini_parse_stream(readNextLine, &parse, addEntry, &parse);
  if (!parse.Error.empty())
    return absl::InvalidArgumentError(parse.Error);
  if (line != 0)
    return absl::InvalidArgumentError(
        fmt::format("{}:{}: expected '[section]', 'key = value' or a comment",
                    source, line));
  return std::move(parse.Result);
}

} // namespace waxwing
