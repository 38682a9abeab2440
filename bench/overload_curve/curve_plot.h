// Draws curves over a common axis as a plot in the SVG format.
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
  // Ordered by the first.
  std::vector<std::pair<double, double>> m_points;
};

struct Plot
{
  std::string m_title;
  std::string m_acrossLabel;
  std::string m_upLabel;
  std::vector<Curve> m_curves;
};

void
WritePlot(const std::string& aPath, const Plot& aPlot);

} // namespace rattanweir
