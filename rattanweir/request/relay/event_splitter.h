// Splits a server-sent event stream into its events. Used by both the pipeline
// and the gateway.
//
//   EventSplitter splitter;
//   for (const StreamEvent& event : splitter.Add(chunk)) ...
//
// Only complete events are returned. Bytes after the last event boundary are
// buffered until the next chunk, and are discarded if the stream ends first.

#pragma once

#include "rattanweir/request/relay/buffer_budget.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanweir {

// One server-sent event.
struct StreamEvent
{
  // The event as received, including its terminating blank line.
  std::string m_text;
  // The `id` field, or nullopt if it is absent or not a decimal number.
  std::optional<std::uint64_t> m_id;
  // The `event` field.
  std::string m_type;
  // The values of all `data` fields, joined by newlines.
  std::string m_data;
};

// Not thread-safe.
class EventSplitter
{
public:
  // The incomplete event at the end of the stream draws on the budget, which
  // must outlive this object; nullptr stands for no budget.
  explicit EventSplitter(BufferBudget* aBudget = nullptr)
    : m_share(aBudget)
  {
  }

  // Appends `aChunk` to the stream and returns the events that it completes.
  // Throws RequestError with AnswerIncomplete if the incomplete event at the
  // end of the stream exceeds kMaxEventBytes, and with AnswerTooLarge if it
  // exceeds the budget.
  std::vector<StreamEvent> Add(std::string_view aChunk);

  // Returns whether the stream so far ends inside an event.
  bool HasPartialEvent() const { return !m_pending.empty(); }

private:
  std::string m_pending;
  BufferShare m_share;
};

inline constexpr std::size_t kMaxEventBytes = std::size_t{ 1024 } * 1024;

} // namespace rattanweir
