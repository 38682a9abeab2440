// Fits a line through measured points and prints the points and the line.
//
//   SlopeTable table("one client account, bytes");
//   table.Add(10, 6'200);
//   table.Add(100, 61'000);
//   table.Print();
//
// The spread is the largest distance of a point from the line, as a fraction of
// the point's value.

#pragma once

#include <string>
#include <vector>

namespace rattanweir {

class SlopeTable
{
public:
  explicit SlopeTable(std::string aTitle);

  void Add(double aCount, double aValue);

  // Prints the values, the slope per item, the intercept and the spread.
  void Print() const;

private:
  struct Point
  {
    double m_count = 0;
    double m_value = 0;
  };
  struct Line
  {
    double m_slope = 0;
    double m_intercept = 0;
    double m_maxRelativeError = 0;
  };

  Line Fit() const;

  std::string m_title;
  std::vector<Point> m_points;
};

} // namespace rattanweir
