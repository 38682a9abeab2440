// Writes the answer to one request onto its connection.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/http_server/http_server.h"
#include "rattanweir/connection/http_server/internal/server_stream.h"
#include "rattanweir/request/exchange/exchange.h"
#include "rattanweir/request/refusal/refusal.h"

namespace rattanweir {

struct ResponseWriterOptions
{
  ServerStream& m_stream;
  const CancelSource& m_cancel;
  RequestId m_request;
  // The request's method is HEAD: its answer has a header only.
  bool m_isHead = false;
  const ResponseStyle& m_style;
  // Whether the connection takes another request; asked when the head is
  // written.
  std::function<bool()> m_keepsAlive;
};

class ResponseWriter final : public ResponseSink
{
public:
  explicit ResponseWriter(const ResponseWriterOptions& aOptions);

  Task<void> WriteHead(ResponseHead aHead) override;
  Task<void> WriteChunk(std::string aChunk) override;
  Task<void> Finish() override;
  bool HasHead() const override { return m_hasHead; }

  // The whole answer of a request that failed before its head.
  Task<void> WriteRefusal(Refusal aRefusal);

  // The last event of an event stream that failed; nothing for other answers,
  // or in the middle of an event, which would then be taken for whole.
  Task<void> WriteErrorEvent(std::string aEvent);

  // Whether the answer was sent to its end.
  bool IsComplete() const { return m_isComplete; }
  // Whether a write failed; the caller gets nothing more.
  bool IsBroken() const { return m_isBroken; }
  // Whether another request may follow on the connection.
  bool KeepsAlive() const { return m_isComplete && m_keepsAlive; }

private:
  Task<void> Write(Buffers aBuffers);
  void UpdateTail(const std::string& aChunk);

  ResponseWriterOptions m_options;
  bool m_hasHead = false;
  bool m_isComplete = false;
  bool m_isBroken = false;
  bool m_keepsAlive = false;
  bool m_isEventStream = false;
  Framing m_framing = Framing::None;
  // Still to come, with Framing::Length.
  std::uint64_t m_bytesLeft = 0;
  // The end of what was written, long enough for the end of an event.
  std::string m_tail;
};

} // namespace rattanweir
