/**
 * @file svg_plot.cpp
 * Line plot in a frame of fixed size, with time on the horizontal axis.
 */
#include "emulator/svg_plot.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace waxwing {
namespace {

constexpr double Width = 640;
constexpr double Height = 320;
constexpr double Margin = 40;
constexpr double LegendLineHeight = 16;

} // namespace

std::string drawPlot(const std::string &title,
                     const std::vector<PlotLine> &lines) {
  std::size_t longest = 2;
  for (const PlotLine &line : lines)
    longest = std::max(longest, line.Values.size());
  const double legend = LegendLineHeight * static_cast<double>(lines.size());
  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<text x=\"{}\" y=\"20\">{}</text>\n"
      "<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"none\" "
      "stroke=\"gray\"/>\n",
      Width + 2 * Margin, Height + 2 * Margin + legend, Margin, title, Margin,
      Margin, Width, Height);
  const auto out = std::back_inserter(svg);
  for (std::size_t n = 0; n < lines.size(); ++n) {
    const int hue = static_cast<int>(360 * n / lines.size());
    fmt::format_to(out,
                   "<polyline fill=\"none\" stroke=\"hsl({},70%,45%)\" "
                   "points=\"",
                   hue);
    for (std::size_t t = 0; t < lines[n].Values.size(); ++t)
      fmt::format_to(
          out, "{:.1f},{:.1f} ",
          Margin +
              Width * static_cast<double>(t) / static_cast<double>(longest - 1),
          Margin + Height * (1 - std::clamp(lines[n].Values[t], 0.0, 1.0)));
    fmt::format_to(
        out,
        "\"/>\n<text x=\"{}\" y=\"{:.0f}\" "
        "fill=\"hsl({},70%,35%)\">{}</text>\n",
        Margin, Height + 2 * Margin + LegendLineHeight * static_cast<double>(n),
        hue, lines[n].Name);
  }
  return svg + "</svg>\n";
}

} // namespace waxwing
