#include "rattanweir/request/relay/event_splitter.h"

#include "rattanweir/base/result/result_code.h"
#include "rattanweir/request/exchange/header_fields.h"

namespace rattanweir {
namespace {

// Returns the offset just past the first blank line of `aText` whose preceding
// line ends at or after `aFrom`, or nullopt if `aText` has none.
std::optional<std::size_t>
FindEventEnd(const std::string& aText, std::size_t aFrom)
{
  for (std::size_t at = aText.find('\n', aFrom); at != std::string::npos;
       at = aText.find('\n', at + 1)) {
    if (aText.compare(at + 1, 1, "\n") == 0) {
      return at + 2;
    }
    if (aText.compare(at + 1, 2, "\r\n") == 0) {
      return at + 3;
    }
  }
  return std::nullopt;
}

void
ReadField(std::string_view aLine, StreamEvent& aEvent)
{
  const std::size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  const std::string_view name = aLine.substr(0, colon);
  std::string_view value = aLine.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (name == "id") {
    aEvent.m_id = ParseDecimal(value);
  } else if (name == "event") {
    aEvent.m_type = value;
  } else if (name == "data") {
    aEvent.m_data += aEvent.m_data.empty() ? "" : "\n";
    aEvent.m_data += value;
  }
}

StreamEvent
ParseEvent(std::string aText)
{
  StreamEvent event;
  std::string_view remaining = aText;
  while (!remaining.empty()) {
    const std::size_t end = remaining.find('\n');
    std::string_view line = remaining.substr(0, end);
    remaining.remove_prefix(end == std::string_view::npos ? remaining.size()
                                                          : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    ReadField(line, event);
  }
  event.m_text = std::move(aText);
  return event;
}

} // namespace

std::vector<StreamEvent>
EventSplitter::Add(std::string_view aChunk)
{
  // An event boundary may start up to two bytes before the new chunk.
  const std::size_t oldSize = m_pending.size();
  std::size_t from = oldSize < 2 ? 0 : oldSize - 2;
  m_pending.append(aChunk);
  std::vector<StreamEvent> events;
  std::size_t begin = 0;
  while (const auto end = FindEventEnd(m_pending, std::max(from, begin))) {
    events.push_back(ParseEvent(m_pending.substr(begin, *end - begin)));
    begin = *end;
    from = begin;
  }
  m_pending.erase(0, begin);
  if (m_pending.size() > kMaxEventBytes) {
    throw RequestError(ResultCode::AnswerIncomplete,
                       "event in the response stream exceeds 1 MiB");
  }
  if (m_pending.capacity() > BufferShare::kFreeBytes &&
      m_pending.size() <= m_pending.capacity() / 4) {
    m_pending.shrink_to_fit();
  }
  if (!m_share.Resize(m_pending.capacity())) {
    throw RequestError(ResultCode::AnswerTooLarge,
                       "incomplete events exceed the memory for all streams");
  }
  return events;
}

} // namespace rattanweir
