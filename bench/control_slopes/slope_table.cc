#include "bench/control_slopes/slope_table.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace rattanweir {

SlopeTable::SlopeTable(std::string aTitle)
  : m_title(std::move(aTitle))
{
}

void
SlopeTable::Add(double aCount, double aValue)
{
  m_points.push_back({ .m_count = aCount, .m_value = aValue });
}

// Minimizes the squares of the relative errors, so that points with small
// counts have the same weight as points with large counts.
SlopeTable::Line
SlopeTable::Fit() const
{
  double weights = 0;
  double counts = 0;
  double values = 0;
  double squares = 0;
  double products = 0;
  for (const Point& point : m_points) {
    const double weight = 1 / (point.m_value * point.m_value);
    weights += weight;
    counts += weight * point.m_count;
    values += weight * point.m_value;
    squares += weight * point.m_count * point.m_count;
    products += weight * point.m_count * point.m_value;
  }
  Line line;
  line.m_slope = (weights * products - counts * values) /
                 (weights * squares - counts * counts);
  line.m_intercept = (values - line.m_slope * counts) / weights;
  for (const Point& point : m_points) {
    const double error =
      line.m_intercept + line.m_slope * point.m_count - point.m_value;
    line.m_maxRelativeError =
      std::max(line.m_maxRelativeError, std::abs(error / point.m_value));
  }
  return line;
}

void
SlopeTable::Print() const
{
  std::printf("| %-34s |", m_title.c_str());
  for (const Point& point : m_points) {
    std::printf(" %10.1f |", point.m_value);
  }
  const Line line = Fit();
  std::printf(" %10.4f | %10.1f | %5.1f%% |\n",
              line.m_slope,
              line.m_intercept,
              100 * line.m_maxRelativeError);
}

} // namespace rattanweir
