/**
 * @file ini.cpp
 * The only place that calls inih.
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

/// State of one parse; inih calls back with a pointer to it.
struct IniParse {
  const std::string &Text;
  std::size_t Offset = 0;      ///< first byte not yet given to inih
  int Line = 0;                ///< number of the line given last
  bool IsContinuation = false; ///< the line is indented
  IniDocument Result;
  /// Indexes of the entries by section and key.
  std::map<std::pair<std::string, std::string>, std::size_t> Places;
  std::string Error; ///< first error, "" while none
};

/// Notes a `[name]` line; inih itself tells of a section only by its keys.
void noteSection(IniParse &parse, std::string_view line) {
  line.remove_prefix(std::min(line.find_first_not_of(" \t"), line.size()));
  const auto end = line.find(']');
  if (line.starts_with('[') && end != std::string_view::npos)
    parse.Result.Sections.push_back(
        {std::string(line.substr(1, end - 1)), parse.Line});
}

/// Feeds inih one line, as fgets would.
char *nextLine(char *buf, int size, void *stream) {
  auto &parse = *static_cast<IniParse *>(stream);
  if (parse.Offset >= parse.Text.size() || size < 2)
    return nullptr;
  const auto end = parse.Text.find('\n', parse.Offset);
  const auto stop = end == std::string::npos ? parse.Text.size() : end + 1;
  const auto length = stop - parse.Offset;
  ++parse.Line;
  if (length >= static_cast<std::size_t>(size)) {
    parse.Error =
        fmt::format("{}:{}: line has {} characters; allowed are {}, continue "
                    "a value on indented lines",
                    parse.Result.Source, parse.Line, length, size - 1);
    return nullptr;
  }
  std::copy_n(parse.Text.data() + parse.Offset, length, buf);
  buf[length] = '\0';
  parse.Offset += length;
  parse.IsContinuation = *buf == ' ' || *buf == '\t';
  noteSection(parse, buf);
  return buf;
}

int addEntry(void *user, const char *section, const char *key,
             const char *value) {
  auto &parse = *static_cast<IniParse *>(user);
  auto &entries = parse.Result.Entries;
  const auto [it, isNew] =
      parse.Places.try_emplace({section, key}, entries.size());
  IniEntry *twin = isNew ? nullptr : &entries[it->second];
  if (twin != nullptr && parse.IsContinuation) {
    twin->Value += (twin->Value.empty() ? "" : " ") + std::string(value);
    twin->LastLine = parse.Line;
    return 1;
  }
  if (twin != nullptr) {
    parse.Error = fmt::format(
        "{}:{}: key '{}' stands twice in section [{}], first in line {}",
        parse.Result.Source, parse.Line, key, section, twin->Line);
    return 0;
  }
  entries.push_back({section, key, value, parse.Line, parse.Line});
  return 1;
}

} // namespace

absl::StatusOr<IniDocument> parseIni(const std::string &text,
                                     const std::string &source) {
  IniParse parse{text};
  parse.Result.Source = source;
  const int line = ini_parse_stream(nextLine, &parse, addEntry, &parse);
  if (!parse.Error.empty())
    return absl::InvalidArgumentError(parse.Error);
  if (line != 0)
    return absl::InvalidArgumentError(
        fmt::format("{}:{}: expected '[section]', 'key = value' or a comment",
                    source, line));
  return std::move(parse.Result);
}

} // namespace waxwing
