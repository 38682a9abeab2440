// One connection towards a server and the HTTP on it. The only file of this
// package that instantiates Beast.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/connection/timed_socket/timed_socket.h"
#include "rattanweir/request/exchange/exchange.h"

#include <boost/system/error_code.hpp>

#include <memory>
#include <optional>
#include <string>

namespace rattanweir {

using ErrorCode = boost::system::error_code;

// What became of a write. Bytes count as sent once the system has taken them.
struct WriteOutcome
{
  ErrorCode m_error;
  std::size_t m_bytesSent = 0;
};

// An answer's head, or why there is none.
struct HeadOutcome
{
  ErrorCode m_error;
  // The bytes that came are no answer that can be used.
  bool m_isUnusable = false;
  ResponseHead m_head;
};

// A piece of the body. Empty only with an error or at the whole body's end.
struct ChunkOutcome
{
  ErrorCode m_error;
  std::string m_chunk;
};

class ClientStream
{
public:
  explicit ClientStream(const HttpUpstreamOptions& aOptions);
  ~ClientStream();
  ClientStream(const ClientStream&) = delete;
  ClientStream& operator=(const ClientStream&) = delete;

  // Ends the waits of the calls below.
  TimedSocket& Socket();

  Task<ErrorCode> Connect(Endpoint aEndpoint);
  // Stops early, without an error, when the server answers before it has read
  // all; the connection carries no other request then.
  Task<WriteOutcome> WriteRequest(Endpoint aEndpoint,
                                  const OutboundRequest& aRequest);
  Task<HeadOutcome> ReadHead();
  Task<ChunkOutcome> ReadChunk();

  // Whether the answer was read to its end.
  bool IsComplete() const;

  // Whether the connection can carry another request: the answer was whole,
  // nothing came after it, and the server keeps the connection.
  bool IsReusable() const;

  // Frees the answer's memory. Before the connection waits for its next use.
  void Reset();

private:
  Task<bool> WaitUntilWritable();

  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace rattanweir
