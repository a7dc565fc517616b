/**
 * @file main.cpp
 * waxwingctl, the command-line client of operators.
 */
#include "ctl/ctl_client.h"
#include "ctl/ctl_command.h"
#include "ctl/ctl_view.h"
#include "ctl/explain.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace waxwing {
namespace {

constexpr std::size_t ChangeIdBytes = 16;

int toInt(CtlExitCode exit) { return static_cast<int>(exit); }

std::string readEnvironment(const char *name) {
  const char *value = std::getenv(name);
  return value == nullptr ? "" : value;
}

/// Reads the token from --token-file or WAXWING_TOKEN. It is never taken from
/// the command line, which other users of the VM can see.
absl::StatusOr<std::string> readToken(const std::string &path) {
  std::string token = readEnvironment("WAXWING_TOKEN");
  if (!path.empty()) {
    std::ifstream file(path);
    if (!file || !std::getline(file, token))
      return absl::NotFoundError("cannot read a token from " + path);
  }
  if (token.empty())
    return absl::NotFoundError(
        "no token; set WAXWING_TOKEN or give --token-file");
  return token;
}

std::string helpText(const cxxopts::Options &options) {
  std::string text = options.help() + "\nCommands:\n";
  for (const CtlCommand &command : ctlCommands())
    text += fmt::format("  {:<48} {}\n",
                        fmt::format("{} {}", command.Name, command.Arguments),
                        command.Help);
  text +=
      fmt::format("  {:<48} {}\n", "explain REQUEST-ID LOG-FILE...",
                  "show what happened to a request, from waxwing-node's logs");
  return text +
         "\nExit codes: 0 done, 1 local error, 2 usage, 3 refused as invalid,\n"
         "4 not found, 5 conflict, 6 denied, 7 nothing done (try again),\n"
         "8 unresolved (repeat with the same --change id).\n";
}

int reportError(CtlExitCode exit, const std::string &message) {
  std::cerr << "waxwingctl: " << message << "\n";
  return toInt(exit);
}

CtlExitCode toExit(const absl::Status &status) {
  switch (status.code()) {
  case absl::StatusCode::kInvalidArgument:
    return CtlExitCode::Usage;
  case absl::StatusCode::kUnavailable:
    return CtlExitCode::Unavailable;
  case absl::StatusCode::kDeadlineExceeded:
    return CtlExitCode::Unresolved;
  default:
    return CtlExitCode::Failure;
  }
}

int reportError(const absl::Status &status) {
  return reportError(toExit(status), std::string(status.message()));
}

CtlServer readServer(const cxxopts::ParseResult &options) {
  return {parseEndpoint(options["server"].as<std::string>()),
          options.count("tls") > 0, options["ca"].as<std::string>(),
          options["server-name"].as<std::string>()};
}

/// Creates the file if it is absent and gives only its owner access. Called
/// before the request, so that a token that cannot be saved is never created;
/// the old content stays until the new token is accepted.
absl::Status prepareSecretFile(const std::string &path) {
  std::error_code ec;
  const bool isWritable = std::ofstream(path, std::ios::app).good();
  std::filesystem::permissions(path,
                               std::filesystem::perms::owner_read |
                                   std::filesystem::perms::owner_write,
                               ec);
  if (ec || !isWritable)
    return absl::NotFoundError("cannot write " + path);
  return absl::OkStatus();
}

/// Prints the output of a command and saves a new token to @p secretFile, if
/// given.
/// @return the exit code
int printOutput(const CtlOutput &output, const std::string &secretFile) {
  std::cout << output.Text;
  std::cerr << output.Error;
  const bool isSavedToFile =
      !secretFile.empty() && output.Exit == CtlExitCode::Success;
  if (!output.Secret.empty() && isSavedToFile)
    std::ofstream(secretFile, std::ios::trunc) << output.Secret << "\n";
  if (!output.Secret.empty() && !isSavedToFile)
    std::cout << output.Secret << "\n";
  return toInt(output.Exit);
}

/// Reports that a request got no response. When the change may have been made,
/// it prints the change id and a new token, so that neither is lost.
/// @return the exit code
int printNoResponse(const absl::Status &status, const CtlRequest &request,
                    const std::string &change) {
  const int exit = reportError(status);
  if (request.Request.Method == "GET" ||
      toExit(status) != CtlExitCode::Unresolved)
    return exit;
  std::cerr << "repeat with --change " << change << "\n";
  if (!request.Secret.empty())
    std::cout << request.Secret << "\n";
  return exit;
}

/// Runs "explain REQUEST-ID LOG-FILE...", which reads local files only.
int runExplain(const std::vector<std::string> &words) {
  if (words.size() < 3)
    return reportError(CtlExitCode::Usage,
                       "usage: waxwingctl explain REQUEST-ID LOG-FILE...");
  std::vector<LogLine> lines;
  for (std::size_t n = 2; n < words.size(); ++n) {
    std::ifstream in(words[n]);
    if (!in)
      return reportError(CtlExitCode::Failure, "cannot read " + words[n]);
    readLog(in, lines);
  }
  const std::string report = explainRequest(words[1], std::move(lines));
  if (report.empty())
    return reportError(
        CtlExitCode::NotFound,
        "no log line names the request " + words[1] +
            "; under load, successful requests are only sampled");
  std::cout << report;
  return toInt(CtlExitCode::Success);
}

int run(const cxxopts::ParseResult &options, std::vector<std::string> words) {
  if (words.front() == "explain")
    return runExplain(words);
  const auto command = parseCommand(words);
  if (!command.ok())
    return reportError(command.status());
  CtlArguments arguments{std::move(words), options["change"].as<std::string>(),
                         options["base"].as<std::string>()};
  if (arguments.Change.empty())
    arguments.Change = randomHex(ChangeIdBytes);
  auto request = (*command)->Build(arguments);
  if (!request.ok())
    return reportError(request.status());
  const auto token = readToken(options["token-file"].as<std::string>());
  if (!token.ok())
    return reportError(CtlExitCode::Denied,
                       std::string(token.status().message()));
  request->Request.Headers.add("Authorization", "Bearer " + *token);
  request->Request.Headers.add("Content-Type", "application/json");
  const auto out = options["out"].as<std::string>();
  if (!request->Secret.empty() && !out.empty())
    if (absl::Status status = prepareSecretFile(out); !status.ok())
      return reportError(status);
  const auto response = sendToServer(readServer(options), request->Request);
  if (!response.ok())
    return printNoResponse(response.status(), *request, arguments.Change);
  return printOutput(
      formatResponse(*request, *response, options.count("json") > 0), out);
}

std::string defaultServer() {
  const std::string server = readEnvironment("WAXWING_SERVER");
  return server.empty() ? "127.0.0.1:8091" : server;
}

int runProgram(int argc, char **argv) {
  cxxopts::Options options("waxwingctl",
                           "Administers waxwinghoist over the controllers' "
                           "administration API.");
  auto text = [](const std::string &value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  options.positional_help("COMMAND [ARGUMENT...]");
  options.add_options()("server",
                        "IP:port of any controller's API; default "
                        "from WAXWING_SERVER",
                        text(defaultServer()))(
      "token-file", "file whose first line is the token; else WAXWING_TOKEN",
      text(readEnvironment("WAXWING_TOKEN_FILE")))(
      "out", "file to which a new token is saved; else standard output",
      text(""))("tls", "connect over TLS")(
      "ca", "PEM file of the trusted CA; default the system's", text(""))(
      "server-name", "host name that the server's certificate must contain",
      text("waxwing"))("json", "print the JSON of the response")(
      "base",
      "revision that the change is based on; refused when the path "
      "changed since",
      text(""))("change", "id of the change; a repeat with the same id is safe",
                text(""))("version", "show the version and exit")(
      "h,help", "show this help and exit");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("version") > 0) {
      std::cout << "waxwingctl " << WAXWING_VERSION << "\n";
      return toInt(CtlExitCode::Success);
    }
    if (parsed.count("help") > 0 || parsed.unmatched().empty()) {
      std::cout << helpText(options);
      return toInt(parsed.count("help") > 0 ? CtlExitCode::Success
                                            : CtlExitCode::Usage);
    }
    return run(parsed, parsed.unmatched());
  } catch (const cxxopts::exceptions::exception &error) {
    return reportError(CtlExitCode::Usage,
                       std::string(error.what()) + "; see --help");
  }
}

} // namespace
} // namespace waxwing

int main(int argc, char **argv) { return waxwing::runProgram(argc, argv); }
