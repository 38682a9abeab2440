// One node of a parsed YAML text, with its line.
//
//   if (node.m_kind == YamlNode::Kind::Scalar) {
//     Use(node.m_scalar, node.m_line);
//   }
//
// A value type.

#pragma once

#include <string>
#include <vector>

namespace rattanweir {

struct YamlNode
{
  enum class Kind
  {
    // No value is given.
    Null,
    Scalar,
    Sequence,
    Mapping,
  };

  Kind m_kind = Kind::Null;
  // Counts from 1.
  int m_line = 0;
  // Empty for all other kinds.
  std::string m_scalar;
  // The elements of a sequence; the keys of a mapping, each followed by its
  // value.
  std::vector<YamlNode> m_children;

  bool IsScalar() const { return m_kind == Kind::Scalar; }
  bool IsSequence() const { return m_kind == Kind::Sequence; }
  bool IsMapping() const { return m_kind == Kind::Mapping; }
};

} // namespace rattanweir
