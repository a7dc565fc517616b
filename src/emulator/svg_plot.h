/**
 * @file svg_plot.h
 * Plots values between 0 and 1 over seconds as an SVG document.
 */
#ifndef WAXWING_EMULATOR_SVG_PLOT_H
#define WAXWING_EMULATOR_SVG_PLOT_H

#include <string>
#include <vector>

namespace waxwing {

struct PlotLine {
  std::string Name;
  std::vector<double> Values; ///< one per second, 0 to 1
};

/// @return an SVG document with one line for each entry and a legend
std::string drawPlot(const std::string &title,
                     const std::vector<PlotLine> &lines);

} // namespace waxwing

#endif
