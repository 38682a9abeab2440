#include "rattanweir/version/yaml/load.h"

#include <yaml-cpp/anchor.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <istream>
#include <streambuf>
#include <string>
#include <utility>
#include <vector>

namespace rattanweir {
namespace {

int
LineOf(const YAML::Mark& aMark)
{
  return aMark.line + 1;
}

// Builds YamlNodes from yaml-cpp's parser events. yaml-cpp's own nodes need
// several times as much time and memory (bench/section_load).
class NodeBuilder : public YAML::EventHandler
{
public:
  explicit NodeBuilder(FaultCollector& aFaults)
    : m_faults(aFaults)
  {
  }

  std::vector<YamlNode>& Documents() { return m_documents; }

  void OnDocumentStart(const YAML::Mark& /*aMark*/) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override
  {
    Add({ .m_kind = YamlNode::Kind::Null, .m_line = LineOf(aMark) });
  }

  // Aliases are rejected, since each repeats the value of its anchor: a short
  // text could expand to a very large one.
  void OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) override
  {
    m_faults.Add(LineOf(aMark), "", "has an alias; aliases are not supported");
    Add({ .m_kind = YamlNode::Kind::Null, .m_line = LineOf(aMark) });
  }

  void OnScalar(const YAML::Mark& aMark,
                const std::string& /*aTag*/,
                YAML::anchor_t /*aAnchor*/,
                const std::string& aValue) override
  {
    Add({ .m_kind = YamlNode::Kind::Scalar,
          .m_line = LineOf(aMark),
          .m_scalar = aValue });
  }

  void OnSequenceStart(const YAML::Mark& aMark,
                       const std::string& /*aTag*/,
                       YAML::anchor_t /*aAnchor*/,
                       YAML::EmitterStyle::value /*aStyle*/) override
  {
    m_open.push_back(
      { .m_kind = YamlNode::Kind::Sequence, .m_line = LineOf(aMark) });
  }
  void OnSequenceEnd() override { Close(); }

  void OnMapStart(const YAML::Mark& aMark,
                  const std::string& /*aTag*/,
                  YAML::anchor_t /*aAnchor*/,
                  YAML::EmitterStyle::value /*aStyle*/) override
  {
    m_open.push_back(
      { .m_kind = YamlNode::Kind::Mapping, .m_line = LineOf(aMark) });
  }
  void OnMapEnd() override { Close(); }

private:
  void Add(YamlNode aNode)
  {
    auto& siblings = m_open.empty() ? m_documents : m_open.back().m_children;
    siblings.push_back(std::move(aNode));
  }

  void Close()
  {
    YamlNode node = std::move(m_open.back());
    m_open.pop_back();
    Add(std::move(node));
  }

  FaultCollector& m_faults;
  std::vector<YamlNode> m_documents;
  // The sequences and mappings that are not closed yet, outermost first.
  std::vector<YamlNode> m_open;
};

// A stream buffer that reads a string without copying it.
class TextBuffer : public std::streambuf
{
public:
  explicit TextBuffer(const std::string& aText)
  {
    // std::streambuf requires a pointer to non-const char; the text is only
    // read.
    char* begin = const_cast<char*>(aText.data());
    setg(begin, begin, begin + aText.size());
  }
};

} // namespace

std::optional<YamlNode>
LoadYaml(const SectionText& aText,
         FaultCollector& aFaults,
         std::size_t aMaximumBytes)
{
  if (aText.m_text.size() > aMaximumBytes) {
    aFaults.Add(0,
                "",
                "has " + std::to_string(aText.m_text.size()) +
                  " bytes; the maximum is " + std::to_string(aMaximumBytes));
    return std::nullopt;
  }
  NodeBuilder builder(aFaults);
  try {
    TextBuffer buffer(aText.m_text);
    std::istream stream(&buffer);
    YAML::Parser parser(stream);
    // After some malformed texts the parser reports empty documents without
    // end, so the loop stops at the second document.
    while (builder.Documents().size() < 2 &&
           parser.HandleNextDocument(builder)) {
    }
  } catch (const YAML::Exception& error) {
    aFaults.Add(LineOf(error.mark), "", "is not YAML: " + error.msg);
    return std::nullopt;
  }
  std::vector<YamlNode>& documents = builder.Documents();
  if (documents.size() != 1) {
    aFaults.Add(0,
                "",
                documents.empty() ? "is empty"
                                  : "holds more than one YAML document");
    return std::nullopt;
  }
  return std::move(documents.front());
}

} // namespace rattanweir
