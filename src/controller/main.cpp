/**
 * @file main.cpp
 * waxwing-controller: manages key ownership, configuration and membership.
 */
#include "controller/controller_process.h"
#include "program/program_func.h"

int main(int argc, char **argv) {
  std::unique_ptr<waxwing::ControllerProcess> controller;
  return waxwing::runDaemon(
      argc, argv, "waxwing-controller",
      "Grants keys to upstreams and relays the configuration.",
      {[&](const waxwing::VmSettings &settings) {
         controller = std::make_unique<waxwing::ControllerProcess>(settings);
         return controller->start();
       },
       [&] { controller->stop(); }});
}
