// Writes a plot of several curves with common axes as an SVG file.
//
//   WritePlot("curve.svg", { .m_title = "goodput", .m_curves = curves });
//
// Throws std::runtime_error if the file cannot be written.

#pragma once

#include <string>
#include <utility>
#include <vector>

namespace rattanweir {

struct Curve
{
  std::string m_name;
  // Pairs of x and y, in ascending order of x.
  std::vector<std::pair<double, double>> m_points;
};

struct Plot
{
  std::string m_title;
  std::string m_xLabel;
  std::string m_yLabel;
  std::vector<Curve> m_curves;
};

void
WritePlot(const std::string& aPath, const Plot& aPlot);

} // namespace rattanweir
