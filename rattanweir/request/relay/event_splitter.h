// Cuts an event stream at the boundaries of its events.
//
//   EventSplitter splitter;
//   for (const StreamEvent& event : splitter.Add(chunk)) ...
//
// Only whole events come out; what follows the last boundary waits for the
// next piece, and is never seen if the stream ends there.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanweir {

// One server-sent event.
struct StreamEvent
{
  // As it came, its closing blank line included.
  std::string m_text;
  // The `id` field as a number, if it is one.
  std::optional<std::uint64_t> m_id;
  // The `event` and `data` fields.
  std::string m_type;
  std::string m_data;
};

class EventSplitter
{
public:
  // The events that `aChunk` completes. Throws RequestError with
  // AnswerIncomplete if one event grows beyond kMaxEventBytes.
  std::vector<StreamEvent> Add(std::string_view aChunk);

  // Whether the pieces ended within an event.
  bool HasPartialEvent() const { return !m_pending.empty(); }

private:
  std::string m_pending;
};

inline constexpr std::size_t kMaxEventBytes = std::size_t{ 1024 } * 1024;

} // namespace rattanweir
