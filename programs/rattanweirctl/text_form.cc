#include "programs/rattanweirctl/text_form.h"

#include <charconv>
#include <string>

namespace rattanweir::ctl {
namespace {

constexpr std::size_t kIndent = 2;

// Returns the shortest text that parses to the same number.
std::string
NumberText(double aValue)
{
  char text[32];
  const auto written = std::to_chars(text, text + sizeof(text), aValue);
  return { text, written.ptr };
}

std::string
ScalarText(const Json::Value& aValue)
{
  if (aValue.isNull()) {
    return "-";
  }
  if (aValue.empty() && (aValue.isArray() || aValue.isObject())) {
    return "none";
  }
  return aValue.isDouble() && !aValue.isIntegral()
           ? NumberText(aValue.asDouble())
           : aValue.asString();
}

bool
HasChildren(const Json::Value& aValue)
{
  return (aValue.isArray() || aValue.isObject()) && !aValue.empty();
}

// Prints a value. `aFirstPrefix` precedes the first line; further lines are
// indented by `aDepth` levels.
void
Print(const Json::Value& aValue,
      const std::string& aFirstPrefix,
      std::size_t aDepth,
      std::ostream& aOut)
{
  if (!HasChildren(aValue)) {
    aOut << aFirstPrefix << ScalarText(aValue) << "\n";
    return;
  }
  const std::string indent(aDepth * kIndent, ' ');
  std::string prefix = aFirstPrefix;
  if (aValue.isArray()) {
    for (const Json::Value& row : aValue) {
      Print(row, prefix + "- ", aDepth + 1, aOut);
      prefix = indent;
    }
    return;
  }
  for (const std::string& name : aValue.getMemberNames()) {
    const Json::Value& field = aValue[name];
    aOut << prefix << name << ":";
    prefix = indent;
    if (!HasChildren(field)) {
      aOut << " " << ScalarText(field) << "\n";
      continue;
    }
    aOut << "\n";
    Print(field, std::string((aDepth + 1) * kIndent, ' '), aDepth + 1, aOut);
  }
}

} // namespace

void
PrintAsText(const Json::Value& aValue, std::ostream& aOut)
{
  Print(aValue, "", 0, aOut);
}

} // namespace rattanweir::ctl
