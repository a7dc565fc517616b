/**
 * @file ctl_command.h
 * Commands of waxwingctl and the requests that they send to the API.
 */
#ifndef WAXWING_CTL_CTL_COMMAND_H
#define WAXWING_CTL_CTL_COMMAND_H

#include "net/http_type.h"

#include <absl/status/statusor.h>
#include <span>
#include <string>
#include <vector>

namespace waxwing {

/// Format in which a response is printed.
enum class CtlOutputFormat : std::uint8_t {
  Value,
  Values,
  Text,
  Change,
  History,
  Teams,
  Owner,
  Revisions,
  Counters,
  NewToken,
};

/// Arguments of a command, and the options that apply to changes.
struct CtlArguments {
  std::vector<std::string> Words; ///< words after the command's name
  std::string Change; ///< id of the change; random unless given by --change
  std::string Base;   ///< revision that the change is based on, "" for none
};

/// A request and the format in which its response is printed.
struct CtlRequest {
  HttpRequest Request;
  CtlOutputFormat OutputFormat = CtlOutputFormat::Change;
  std::string Secret; ///< new token, printed when it may have been stored
};

/// A command of waxwingctl, as a row of the command table.
struct CtlCommand {
  std::string_view Name; ///< one or two words, such as "set" or "domain out"
  std::string_view Arguments; ///< synopsis of the arguments in the help text
  std::size_t MinWords;
  std::size_t MaxWords;
  std::string_view Help;
  absl::StatusOr<CtlRequest> (*Build)(const CtlArguments &arguments);
};

/// @return the command table
std::span<const CtlCommand> ctlCommands();

/// Finds the command whose name @p words begin with and removes the name.
/// @return the command, or InvalidArgument when there is none or the number of
///   arguments is wrong
absl::StatusOr<const CtlCommand *>
parseCommand(std::vector<std::string> &words);

/// @return @p bytes cryptographically random bytes in hexadecimal
std::string randomHex(std::size_t bytes);

} // namespace waxwing

#endif
