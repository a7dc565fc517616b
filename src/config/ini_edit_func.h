/**
 * @file ini_edit_func.h
 * Changes single lines of an INI text and keeps all others, with their
 * comments and order.
 */
#ifndef WAXWING_CONFIG_INI_EDIT_FUNC_H
#define WAXWING_CONFIG_INI_EDIT_FUNC_H

#include "settings/ini_type.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace waxwing {

/// The lines of a text, numbered from 1.
class IniText {
public:
  explicit IniText(const std::string &text);
  std::string join() const;

  /// Puts one line in place of an entry; later lines move up when the
  /// entry had several.
  void replaceEntry(const IniEntry &entry, std::string text);
  /// @param line number of the line to stand before the new one
  void insertAfter(int line, std::string text);
  /// Removes lines @p first to @p last.
  void removeLines(int first, int last);
  int lineCount() const { return static_cast<int>(Lines.size()); }

private:
  std::vector<std::string> Lines;
};

/// @return "kind/name" of the section "kind name"
std::string sectionPath(const std::string &section);

/// Sets a value; adds the section and the key when they are absent.
/// @return the new text, or InvalidArgument when @p value cannot be written
///   in one line of INI
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
