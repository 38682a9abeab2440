// Reads YAML field by field, with the place of each fault.
//
//   FaultCollector faults("routes.yaml", "routes");
//   if (const auto root = LoadYaml(text, faults)) {
//     MappingReader reader(*root, "", faults);
//     const auto id = reader.ReadId<RouteId>("id");
//     const auto deadline = reader.ReadDuration("deadline", { 10ms, 1h });
//     reader.RejectUnknownFields();
//   }
//   faults.ThrowIfAny();
//
// A read that fails adds a fault and gives a default value, so that one pass
// finds every fault. Fields that are neither read nor refused are not judged.

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"
#include "rattanweir/base/units/units.h"
#include "rattanweir/version/fault/fault_collector.h"
#include "rattanweir/version/yaml/node.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattanweir {

// The least and the largest value taken.
template<class T>
struct Range
{
  T m_min;
  T m_max;
};

// Reads the fields of one mapping. Each reader without a default adds a fault
// if the field is missing. Node and collector must outlive the
// reader.
class MappingReader
{
public:
  // `aPath` is the field that holds the mapping; empty for the root.
  MappingReader(const YamlNode& aNode,
                std::string aPath,
                FaultCollector& aFaults);

  // False if the node was something else; a fault was added then.
  bool IsMapping() const { return m_isMapping; }

  bool Has(std::string_view aField) const;

  // A text that is not empty.
  std::string ReadText(std::string_view aField);

  // At most 128 letters, digits, `.`, `_`, `:`, `/` and `-`, so that ids are
  // safe in headers, paths and logs.
  template<class IdType>
  IdType ReadId(std::string_view aField)
  {
    return IdType(ReadIdText(aField));
  }
  template<class IdType>
  std::optional<IdType> ReadOptionalId(std::string_view aField)
  {
    return Has(aField) ? std::optional(ReadId<IdType>(aField)) : std::nullopt;
  }
  // A list of such ids: not empty, none twice.
  std::vector<std::string> ReadIdList(std::string_view aField);

  std::int64_t ReadInteger(std::string_view aField,
                           const Range<std::int64_t>& aRange,
                           std::optional<std::int64_t> aDefault = {});
  double ReadDecimal(std::string_view aField, const Range<double>& aRange);
  bool ReadBoolean(std::string_view aField, std::optional<bool> aDefault = {});
  std::chrono::nanoseconds ReadDuration(
    std::string_view aField,
    const Range<std::chrono::nanoseconds>& aRange,
    std::optional<std::chrono::nanoseconds> aDefault = {});
  ByteCount ReadByteCount(std::string_view aField,
                          const Range<ByteCount>& aRange,
                          std::optional<ByteCount> aDefault = {});
  Endpoint ReadEndpoint(std::string_view aField);

  // One of the named values.
  template<class T>
  T ReadChoice(std::string_view aField,
               std::initializer_list<std::pair<std::string_view, T>> aChoices,
               std::optional<T> aDefault = {})
  {
    std::string expected;
    const std::optional<std::string> text = ScalarOf(aField, aDefault);
    for (const auto& [name, value] : aChoices) {
      if (text == name) {
        return value;
      }
      expected += (expected.empty() ? "" : ", ") + std::string(name);
    }
    if (text) {
      AddFault(aField, "'" + *text + "' is not one of " + expected);
    }
    return aDefault.value_or(aChoices.begin()->second);
  }

  // A mapping below this one.
  MappingReader ReadMapping(std::string_view aField);

  // The field's value as it stands, or null.
  const YamlNode* ReadNode(std::string_view aField);

  // Calls the function with a reader for each row of a list of mappings.
  void ReadRows(std::string_view aField,
                const std::function<void(MappingReader&)>& aFunction);

  // Whether the field is there and is a list.
  bool IsList(std::string_view aField) const;

  // A fault of this field, or of the mapping if it has no such field.
  void AddFault(std::string_view aField, std::string aMessage);

  int LineOfField(std::string_view aField) const;

  // Adds a fault for each field that was not asked for.
  void RejectUnknownFields();

private:
  struct Field
  {
    const YamlNode& m_name;
    const YamlNode& m_value;
    bool m_isKnown = false;
  };

  const Field* Find(std::string_view aField) const;
  // Marks the field as known; adds a fault if it is missing and wanted.
  const Field* Take(std::string_view aField, bool aIsWanted);
  std::optional<std::string> TakeScalar(std::string_view aField,
                                        bool aIsWanted);
  template<class T>
  std::optional<std::string> ScalarOf(std::string_view aField,
                                      const std::optional<T>& aDefault)
  {
    return TakeScalar(aField, !aDefault.has_value());
  }
  std::string ReadIdText(std::string_view aField);
  std::string PathOf(std::string_view aField) const;

  std::string m_path;
  int m_line = 0;
  bool m_isMapping = true;
  std::vector<Field> m_fields;
  FaultCollector& m_faults;
};

} // namespace rattanweir
