#include "bench/overload_curve/curve_plot.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace rattanweir {
namespace {

// Of the picture and of its margin, in pixels.
constexpr double kWidth = 640;
constexpr double kHeight = 400;
constexpr double kMargin = 50;
// From one row of the legend to the next, in pixels.
constexpr double kLegendRow = 18;

// One for each curve; used again from the first if there are more.
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
      for (const auto& [across, up] : curve.m_points) {
        m_maxAcross = std::max(m_maxAcross, across);
        m_maxUp = std::max(m_maxUp, up);
      }
    }
  }

  double Across(double aValue) const
  {
    return kMargin + aValue / m_maxAcross * (kWidth - 2 * kMargin);
  }
  double Up(double aValue) const
  {
    return kHeight - kMargin - aValue / m_maxUp * (kHeight - 2 * kMargin);
  }
  double MaxAcross() const { return m_maxAcross; }
  double MaxUp() const { return m_maxUp; }

private:
  // Above zero, for a plot without points.
  double m_maxAcross = 1e-9;
  double m_maxUp = 1e-9;
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
  WriteText(aOut, kWidth / 2, kHeight - kMargin / 4, aPlot.m_acrossLabel);
  WriteText(aOut, kMargin / 4, kMargin - 6, aPlot.m_upLabel);
  WriteText(aOut,
            kWidth - kMargin,
            kHeight - kMargin + 16,
            std::to_string(aScale.MaxAcross()).substr(0, 4));
  WriteText(aOut, 4, kMargin + 12, std::to_string(aScale.MaxUp()).substr(0, 5));
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
    for (const auto& [across, up] : curve.m_points) {
      out << scale.Across(across) << ',' << scale.Up(up) << ' ';
    }
    out << "\"/>\n";
    const double row = kMargin + kLegendRow * double(index);
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
