#include "bench/overload_curve/curve_plot.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace rattanweir {
namespace {

// Size of the image and of its margin in pixels.
constexpr double kWidth = 640;
constexpr double kHeight = 400;
constexpr double kMargin = 50;
// Distance between two rows of the legend in pixels.
constexpr double kLegendRowHeight = 18;

// Colours of the curves in order; repeats if there are more curves.
const std::vector<std::string> kColours{ "#1b6ca8",
                                         "#d1495b",
                                         "#2e8b57",
                                         "#8e5ea2",
                                         "#edae49" };

class Scale
{
public:
  explicit Scale(const Plot& aPlot)
  {
    for (const Curve& curve : aPlot.m_curves) {
      for (const auto& [x, y] : curve.m_points) {
        m_maxX = std::max(m_maxX, x);
        m_maxY = std::max(m_maxY, y);
      }
    }
  }

  double X(double aValue) const
  {
    return kMargin + aValue / m_maxX * (kWidth - 2 * kMargin);
  }
  double Y(double aValue) const
  {
    return kHeight - kMargin - aValue / m_maxY * (kHeight - 2 * kMargin);
  }
  double MaxX() const { return m_maxX; }
  double MaxY() const { return m_maxY; }

private:
  // Positive, so that a plot without points does not divide by zero.
  double m_maxX = 1e-9;
  double m_maxY = 1e-9;
};

void
WriteText(std::ostream& aOut, double aX, double aY, const std::string& aText)
{
  aOut << "<text x=\"" << aX << "\" y=\"" << aY
       << "\" font-family=\"sans-serif\" font-size=\"12\">" << aText
       << "</text>\n";
}

void
WriteAxes(std::ostream& aOut, const Plot& aPlot, const Scale& aScale)
{
  aOut << "<polyline fill=\"none\" stroke=\"black\" points=\"" << kMargin << ','
       << kMargin << ' ' << kMargin << ',' << kHeight - kMargin << ' '
       << kWidth - kMargin << ',' << kHeight - kMargin << "\"/>\n";
  WriteText(aOut, kMargin, kMargin / 2, aPlot.m_title);
  WriteText(aOut, kWidth / 2, kHeight - kMargin / 4, aPlot.m_xLabel);
  WriteText(aOut, kMargin / 4, kMargin - 6, aPlot.m_yLabel);
  WriteText(aOut,
            kWidth - kMargin,
            kHeight - kMargin + 16,
            std::to_string(aScale.MaxX()).substr(0, 4));
  WriteText(aOut, 4, kMargin + 12, std::to_string(aScale.MaxY()).substr(0, 5));
}

} // namespace

void
WritePlot(const std::string& aPath, const Plot& aPlot)
{
  std::ofstream out(aPath);
  const Scale scale(aPlot);
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth
      << "\" height=\"" << kHeight << "\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  WriteAxes(out, aPlot, scale);
  for (std::size_t index = 0; index < aPlot.m_curves.size(); ++index) {
    const Curve& curve = aPlot.m_curves[index];
    const std::string& colour = kColours[index % kColours.size()];
    out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour
        << "\" points=\"";
    for (const auto& [x, y] : curve.m_points) {
      out << scale.X(x) << ',' << scale.Y(y) << ' ';
    }
    out << "\"/>\n";
    const double row = kMargin + kLegendRowHeight * double(index);
    out << "<rect x=\"" << kWidth - 2 * kMargin << "\" y=\"" << row - 9
        << "\" width=\"10\" height=\"10\" fill=\"" << colour << "\"/>\n";
    WriteText(out, kWidth - 2 * kMargin + 14, row, curve.m_name);
  }
  out << "</svg>\n";
  out.close();
  if (!out) {
    throw std::runtime_error("cannot write the plot to " + aPath);
  }
}

} // namespace rattanweir
