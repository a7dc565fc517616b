/**
 * @file ini_func.h
 * INI parser that keeps line numbers.
 */
#ifndef WAXWING_SETTINGS_INI_FUNC_H
#define WAXWING_SETTINGS_INI_FUNC_H

#include "settings/ini_type.h"

#include <absl/status/statusor.h>

namespace waxwing {

/// Parses INI text.
/// @param source file name or path shown in error messages
/// @return the document, or InvalidArgument with source, line and cause for
///   a malformed line or a key that is defined twice in one section
absl::StatusOr<IniDocument> parseIni(const std::string &text,
                                     const std::string &source);

} // namespace waxwing

#endif
