#include "rattanweir/version/yaml/load.h"

#include <string>
#include <vector>

namespace rattanweir {

int
LineOf(const YAML::Node& aNode)
{
  return aNode.Mark().line + 1;
}

std::optional<YAML::Node>
LoadYaml(const SectionText& aText,
         FaultCollector& aFaults,
         std::size_t aMaximumBytes)
{
  if (aText.m_text.size() > aMaximumBytes) {
    aFaults.Add(0,
                "",
                "has " + std::to_string(aText.m_text.size()) +
                  " bytes, the most is " + std::to_string(aMaximumBytes));
    return std::nullopt;
  }
  try {
    const std::vector<YAML::Node> documents = YAML::LoadAll(aText.m_text);
    if (documents.size() == 1) {
      return documents.front();
    }
    aFaults.Add(0,
                "",
                documents.empty() ? "is empty"
                                  : "holds more than one YAML document");
  } catch (const YAML::Exception& error) {
    aFaults.Add(error.mark.line + 1, "", "is not YAML: " + error.msg);
  }
  return std::nullopt;
}

} // namespace rattanweir
