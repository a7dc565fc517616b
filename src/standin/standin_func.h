/**
 * @file standin_func.h
 * Command line handling and HTTP helpers shared by the stand-in programs.
 */
#ifndef WAXWING_STANDIN_STANDIN_FUNC_H
#define WAXWING_STANDIN_STANDIN_FUNC_H

#include "net/http_server.h"
#include "net/url_func.h"
#include "program/program_func.h"

#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <string>

namespace waxwing {

/// Parses the command line, blocks the stop signals and runs @p body.
/// @param declare adds the program's own options
/// @return the process's exit code; 2 for a wrong command line
template <class Declare, class Body>
int runStandin(int argc, char **argv, const std::string &name,
               const std::string &purpose, Declare &&declare, Body &&body) {
  cxxopts::Options options(name, purpose);
  declare(options);
  options.add_options()("h,help", "show this help and exit");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return static_cast<int>(ExitCode::Success);
    }
    blockStopSignals();
    return std::forward<Body>(body)(parsed);
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << name << ": " << error.what() << "; see --help\n";
    return static_cast<int>(ExitCode::Usage);
  }
}

/// @return a plain text response
inline HttpResponse textResponse(int status, std::string body) {
  HttpResponse response;
  response.Status = status;
  response.Body = std::move(body);
  return response;
}

} // namespace waxwing

#endif
