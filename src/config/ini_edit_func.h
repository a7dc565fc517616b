/**
 * @file ini_edit_func.h
 * Edits single lines of an INI text; all other lines, comments and their order
 * are preserved.
 */
#ifndef WAXWING_CONFIG_INI_EDIT_FUNC_H
#define WAXWING_CONFIG_INI_EDIT_FUNC_H

#include "settings/ini_type.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace waxwing {

/// An INI text as a list of lines, numbered from 1.
class IniText {
public:
  explicit IniText(const std::string &text);
  std::string join() const;

  /// Replaces all lines of an entry by one line. If the entry had several
  /// lines, the numbers of the following lines decrease.
  void replaceEntry(const IniEntry &entry, std::string text);
  /// Inserts a line after line @p line, 0 for the start of the text.
  void insertAfter(int line, std::string text);
  /// Removes lines @p first to @p last.
  void removeLines(int first, int last);
  int lineCount() const { return static_cast<int>(Lines.size()); }

private:
  std::vector<std::string> Lines;
};

/// @return "kind/name" for the section name "kind name"
std::string sectionPath(const std::string &section);

/// Sets a value; adds the section and the key if they do not exist.
/// @return the new text, or InvalidArgument if @p value does not fit on one INI
///   line
absl::StatusOr<std::string> setIniValue(const std::string &text,
                                        const std::string &section,
                                        const std::string &key,
                                        const std::string &value);

/// @return the text without the key, or NotFound
absl::StatusOr<std::string> removeIniValue(const std::string &text,
                                           const std::string &section,
                                           const std::string &key);

/// @return the text without the section, or NotFound
absl::StatusOr<std::string> removeIniSection(const std::string &text,
                                             const std::string &section);

/// @return the value, or NotFound
absl::StatusOr<std::string> findIniValue(const std::string &text,
                                         const std::string &section,
                                         const std::string &key);

} // namespace waxwing

#endif
