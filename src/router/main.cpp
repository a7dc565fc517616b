/**
 * @file main.cpp
 * waxwing-router: forwards callers' requests to upstreams.
 */
#include "program/program_func.h"
#include "router/router_process.h"

int main(int argc, char **argv) {
  std::unique_ptr<waxwing::RouterProcess> router;
  return waxwing::runDaemon(
      argc, argv, "waxwing-router",
      "Routes callers' requests to the upstreams that own their keys.",
      {[&](const waxwing::VmSettings &settings) {
         router = std::make_unique<waxwing::RouterProcess>(settings);
         return router->start();
       },
       [&] { router->stop(); }});
}
