#include "rattanweir/version/yaml/reader.h"

#include <algorithm>
#include <set>

namespace rattanweir {
namespace {

constexpr std::size_t kMaximumIdBytes = 128;

bool
IsIdCharacter(char aCharacter)
{
  constexpr std::string_view kPunctuation = "._:/-";
  const bool isLetter = (aCharacter >= 'a' && aCharacter <= 'z') ||
                        (aCharacter >= 'A' && aCharacter <= 'Z');
  const bool isDigit = aCharacter >= '0' && aCharacter <= '9';
  return isLetter || isDigit ||
         kPunctuation.find(aCharacter) != std::string_view::npos;
}

bool
IsId(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaximumIdBytes &&
         std::all_of(aText.begin(), aText.end(), IsIdCharacter);
}

std::string
IdFault(const std::string& aText)
{
  return "'" + aText.substr(0, kMaximumIdBytes) +
         "' is not an id: 1 to 128 letters, digits, '.', '_', ':', '/', '-'";
}

} // namespace

MappingReader::MappingReader(const YamlNode& aNode,
                             std::string aPath,
                             FaultCollector& aFaults)
  : m_path(std::move(aPath))
  , m_line(aNode.m_line)
  , m_isMapping(aNode.IsMapping())
  , m_faults(aFaults)
{
  if (!m_isMapping) {
    m_faults.Add(m_line, m_path, "is not a mapping");
    return;
  }
  const std::vector<YamlNode>& children = aNode.m_children;
  m_fields.reserve(children.size() / 2);
  for (std::size_t index = 0; index + 1 < children.size(); index += 2) {
    const YamlNode& name = children[index];
    if (!name.IsScalar()) {
      m_faults.Add(
        name.m_line, m_path, "has a field whose name is not a string");
      continue;
    }
    if (Find(name.m_scalar) != nullptr) {
      m_faults.Add(name.m_line, PathOf(name.m_scalar), "is given twice");
      continue;
    }
    m_fields.push_back({ .m_name = name, .m_value = children[index + 1] });
  }
}

const MappingReader::Field*
MappingReader::Find(std::string_view aField) const
{
  for (const Field& field : m_fields) {
    if (field.m_name.m_scalar == aField) {
      return &field;
    }
  }
  return nullptr;
}

const MappingReader::Field*
MappingReader::GetField(std::string_view aField, bool aIsRequired)
{
  for (Field& field : m_fields) {
    if (field.m_name.m_scalar != aField) {
      continue;
    }
    field.m_isKnown = true;
    return &field;
  }
  if (aIsRequired && m_isMapping) {
    m_faults.Add(m_line, PathOf(aField), "is missing");
  }
  return nullptr;
}

std::optional<std::string>
MappingReader::GetScalar(std::string_view aField, bool aIsRequired)
{
  const Field* field = GetField(aField, aIsRequired);
  if (field == nullptr) {
    return std::nullopt;
  }
  if (!field->m_value.IsScalar()) {
    AddFault(aField, "is not a single value");
    return std::nullopt;
  }
  return field->m_value.m_scalar;
}

std::string
MappingReader::PathOf(std::string_view aField) const
{
  return m_path.empty() ? std::string(aField)
                        : m_path + "." + std::string(aField);
}

bool
MappingReader::Has(std::string_view aField) const
{
  return Find(aField) != nullptr;
}

bool
MappingReader::IsList(std::string_view aField) const
{
  const Field* field = Find(aField);
  return field != nullptr && field->m_value.IsSequence();
}

int
MappingReader::LineOfField(std::string_view aField) const
{
  const Field* field = Find(aField);
  return field == nullptr ? m_line : field->m_name.m_line;
}

void
MappingReader::AddFault(std::string_view aField, std::string aMessage)
{
  m_faults.Add(LineOfField(aField), PathOf(aField), std::move(aMessage));
}

void
MappingReader::RejectUnknownFields()
{
  for (const Field& field : m_fields) {
    if (!field.m_isKnown) {
      AddFault(field.m_name.m_scalar, "is not a known field");
    }
  }
}

std::string
MappingReader::ReadText(std::string_view aField)
{
  const std::optional<std::string> text = GetScalar(aField, true);
  if (text && text->empty()) {
    AddFault(aField, "is empty");
  }
  return text.value_or("");
}

std::string
MappingReader::ReadIdText(std::string_view aField)
{
  const std::optional<std::string> text = GetScalar(aField, true);
  if (text && !IsId(*text)) {
    AddFault(aField, IdFault(*text));
  }
  return text.value_or("");
}

std::vector<std::string>
MappingReader::ReadIdList(std::string_view aField)
{
  const Field* field = GetField(aField, true);
  std::vector<std::string> ids;
  if (field == nullptr) {
    return ids;
  }
  if (!field->m_value.IsSequence() || field->m_value.m_children.empty()) {
    AddFault(aField, "is not a list with at least one id");
    return ids;
  }
  std::set<std::string> seen;
  for (const YamlNode& node : field->m_value.m_children) {
    const std::string& text = node.m_scalar;
    if (!IsId(text)) {
      m_faults.Add(node.m_line, PathOf(aField), IdFault(text));
      continue;
    }
    if (!seen.insert(text).second) {
      m_faults.Add(
        node.m_line, PathOf(aField), "contains '" + text + "' twice");
      continue;
    }
    ids.push_back(text);
  }
  return ids;
}

MappingReader
MappingReader::ReadMapping(std::string_view aField)
{
  const Field* field = GetField(aField, true);
  if (field == nullptr) {
    // Marked as no mapping, so that reads add no further faults for fields of
    // the missing mapping.
    static const YamlNode kEmpty{ .m_kind = YamlNode::Kind::Mapping };
    MappingReader none(kEmpty, PathOf(aField), m_faults);
    none.m_isMapping = false;
    return none;
  }
  return { field->m_value, PathOf(aField), m_faults };
}

const YamlNode*
MappingReader::ReadNode(std::string_view aField)
{
  const Field* field = GetField(aField, true);
  return field == nullptr ? nullptr : &field->m_value;
}

void
MappingReader::ReadRows(std::string_view aField,
                        const std::function<void(MappingReader&)>& aFunction)
{
  const Field* field = GetField(aField, true);
  if (field == nullptr) {
    return;
  }
  if (!field->m_value.IsSequence()) {
    AddFault(aField, "is not a list");
    return;
  }
  std::size_t index = 0;
  for (const YamlNode& node : field->m_value.m_children) {
    MappingReader row(node, "[" + std::to_string(index) + "]", m_faults);
    ++index;
    aFunction(row);
    row.RejectUnknownFields();
  }
}

} // namespace rattanweir
