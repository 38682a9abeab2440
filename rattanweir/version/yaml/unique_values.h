// Detects duplicate values of a field in a list of mappings.
//
//   UniqueValues ids;
//   section.ReadRows("routes", [&](MappingReader& aRow) {
//     ids.Check(aRow, "id", aRow.ReadText("id"), "id");
//   });

#pragma once

#include "rattanweir/version/yaml/reader.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace rattanweir {

// Records the values of one field over all elements of a list.
class UniqueValues
{
public:
  // Adds a fault to the field if an earlier element has the same value; ignores
  // empty values. `aWhat` names the kind of value in the message.
  void Check(MappingReader& aRow,
             std::string_view aField,
             const std::string& aValue,
             std::string_view aWhat);

private:
  std::unordered_map<std::string, int> m_lines;
};

} // namespace rattanweir
