#include "rattanweir/version/yaml/unique_values.h"

namespace rattanweir {

void
UniqueValues::Check(MappingReader& aRow,
                    std::string_view aField,
                    const std::string& aValue,
                    std::string_view aWhat)
{
  const int line = aRow.LineOfField(aField);
  const auto [earlier, isNew] = m_lines.emplace(aValue, line);
  if (isNew || aValue.empty()) {
    return;
  }
  aRow.AddFault(aField,
                std::string(aWhat) + " '" + aValue +
                  "' is already used (line " + std::to_string(earlier->second) +
                  ")");
}

} // namespace rattanweir
