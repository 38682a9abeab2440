// Reads YAML field by field and reports each fault with its location.
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
// A read that fails adds a fault and returns a default value, so that one pass
// finds every fault. Fields that are never read are ignored unless
// RejectUnknownFields() is called. Not thread-safe.

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

// A closed range of accepted values.
template<class T>
struct Range
{
  T m_min;
  T m_max;
};

// Reads the fields of one mapping. A Read function without a default adds a
// fault if the field is missing. The node and the collector must outlive the
// reader.
class MappingReader
{
public:
  // `aPath` is the path of the field that holds the mapping; empty for the
  // root. Adds a fault if the node is not a mapping.
  MappingReader(const YamlNode& aNode,
                std::string aPath,
                FaultCollector& aFaults);

  // Returns whether the node is a mapping.
  bool IsMapping() const { return m_isMapping; }

  bool Has(std::string_view aField) const;

  // Reads a non-empty string.
  std::string ReadText(std::string_view aField);

  // Reads an id of 1 to 128 letters, digits, `.`, `_`, `:`, `/` and `-`. The
  // restriction makes ids safe in headers, paths and logs.
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
  // Reads a non-empty list of distinct ids.
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

  // Reads one of the named values.
  template<class T>
  T ReadChoice(std::string_view aField,
               std::initializer_list<std::pair<std::string_view, T>> aChoices,
               std::optional<T> aDefault = {})
  {
    std::string expected;
    const std::optional<std::string> text =
      GetScalarOrDefault(aField, aDefault);
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

  // Reads a nested mapping.
  MappingReader ReadMapping(std::string_view aField);

  // Returns the field's unparsed node, or null with a fault added if the field
  // is missing.
  const YamlNode* ReadNode(std::string_view aField);

  // Calls the function with a reader for each element of a list of mappings,
  // then rejects the element's unknown fields.
  void ReadRows(std::string_view aField,
                const std::function<void(MappingReader&)>& aFunction);

  // Returns whether the field is present and is a list.
  bool IsList(std::string_view aField) const;

  // Adds a fault at the field's line, or at the mapping's line if the field is
  // missing.
  void AddFault(std::string_view aField, std::string aMessage);

  // Returns the field's line, or the mapping's line if the field is missing.
  int LineOfField(std::string_view aField) const;

  // Adds a fault for each field that has not been read.
  void RejectUnknownFields();

private:
  struct Field
  {
    const YamlNode& m_name;
    const YamlNode& m_value;
    bool m_isKnown = false;
  };

  const Field* Find(std::string_view aField) const;
  // Returns the field and marks it as known, or returns null. Adds a fault if
  // a required field is missing.
  const Field* GetField(std::string_view aField, bool aIsRequired);
  std::optional<std::string> GetScalar(std::string_view aField,
                                       bool aIsRequired);
  template<class T>
  std::optional<std::string> GetScalarOrDefault(
    std::string_view aField,
    const std::optional<T>& aDefault)
  {
    return GetScalar(aField, !aDefault.has_value());
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
