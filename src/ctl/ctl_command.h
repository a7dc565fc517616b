/**
 * @file ctl_command.h
 * The commands of waxwingctl: how their words become a request.
 */
#ifndef WAXWING_CTL_CTL_COMMAND_H
#define WAXWING_CTL_CTL_COMMAND_H

#include "net/http_type.h"

#include <absl/status/statusor.h>
#include <span>
#include <string>
#include <vector>

namespace waxwing {

/// How an answer is shown.
enum class CtlView : std::uint8_t {
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

/// Words after the command, and options that concern changes.
struct CtlArguments {
  std::vector<std::string> Words;
  std::string Change; ///< id; one is drawn for each run unless given
  std::string Base;   ///< revision, "" for none
};

/// A request and how its answer is shown.
struct CtlRequest {
  HttpRequest Request;
  CtlView View = CtlView::Change;
  std::string Secret; ///< a token just drawn, shown once it is accepted
};

/// One row of the table of commands.
struct CtlCommand {
  std::string_view Name;      ///< "set" or "domain out"
  std::string_view Arguments; ///< for the help
  std::size_t MinWords;
  std::size_t MaxWords;
  std::string_view Help;
  absl::StatusOr<CtlRequest> (*Build)(const CtlArguments &arguments);
};

std::span<const CtlCommand> ctlCommands();

/// Finds the command that @p words begin with and removes its name.
/// @return the command, or InvalidArgument saying what is allowed
absl::StatusOr<const CtlCommand *> takeCommand(std::vector<std::string> &words);

/// @return a random id of @p bytes bytes in hexadecimal
std::string drawHex(std::size_t bytes);

} // namespace waxwing

#endif
