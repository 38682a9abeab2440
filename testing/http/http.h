// A small blocking HTTP/1.1 library for stand-ins and test callers.
//
//   HttpListener listener(0);
//   listener.Serve([](const HttpRequest& aRequest, HttpResponder& aResponder) {
//     aResponder.Respond(200, {}, "hello");
//   });
//
//   HttpConnection connection(endpoint, 5s);
//   const HttpResponse response = connection.Send({ .m_method = "GET", ... });
//
// Each accepted connection is served by its own thread. Test code only.

#pragma once

#include "rattanweir/base/endpoint/endpoint.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace rattanweir::testing {

// Thrown if a connection cannot be established, breaks or times out.
class HttpError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

struct HttpField
{
  std::string m_name;
  std::string m_value;
};

using HttpFields = std::vector<HttpField>;

// Returns the first value of the field; names are case-insensitive. Returns an
// empty string if the field is missing.
std::string
FieldOf(const HttpFields& aFields, std::string_view aName);

struct HttpRequest
{
  std::string m_method;
  std::string m_target;
  HttpFields m_headers;
  std::string m_body;
};

struct HttpResponse
{
  // 0 if the connection broke before the response head.
  unsigned m_status = 0;
  HttpFields m_headers;
  std::string m_body;
  // Whether the body was received up to the end that its framing marks.
  bool m_isComplete = false;
};

class FdStream;

// Writes the response to one request. Throws HttpError if the peer has closed
// the connection.
class HttpResponder
{
public:
  explicit HttpResponder(FdStream& aStream)
    : m_stream(aStream)
  {
  }

  void Respond(unsigned aStatus, HttpFields aHeaders, const std::string& aBody);

  // Write a chunked response: its head, any number of chunks, its end.
  void StartStream(unsigned aStatus, const HttpFields& aHeaders);
  void WriteChunk(std::string_view aChunk);
  void FinishStream();

  // Writes unmodified bytes, for responses that violate the protocol.
  void WriteRaw(std::string_view aBytes);

  // Marks the connection to be closed once the handler returns, regardless of
  // what was written.
  void AbortConnection() { m_isAborted = true; }
  bool IsAborted() const { return m_isAborted; }

  // Waits up to `aDuration`. Returns true as soon as the peer has closed the
  // connection.
  bool WaitForPeerClose(std::chrono::nanoseconds aDuration);

private:
  FdStream& m_stream;
  bool m_isAborted = false;
};

using HttpHandler = std::function<void(const HttpRequest&, HttpResponder&)>;

// Listens on 127.0.0.1.
class HttpListener
{
public:
  // Port 0 selects a free port. Throws HttpError if the port is not available.
  explicit HttpListener(std::uint16_t aPort);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  Endpoint Address() const;

  // Serves until the process ends.
  [[noreturn]] void Serve(const HttpHandler& aHandler);

private:
  int m_fd = -1;
};

// Client connection that is kept alive between requests.
class HttpConnection
{
public:
  // `aTimeout` bounds each wait for bytes. Throws HttpError.
  HttpConnection(const Endpoint& aEndpoint, std::chrono::nanoseconds aTimeout);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Called with the body received so far each time it has grown. Returning
  // false closes the connection immediately.
  using OnBody = std::function<bool(const std::string&)>;

  // Sends the request and reads the response. Does not throw if the connection
  // breaks; the response is then marked as incomplete.
  HttpResponse Send(const HttpRequest& aRequest, const OnBody& aOnBody = {});

  // Returns whether another request can be sent.
  bool IsOpen() const { return m_isOpen; }

private:
  struct State;
  std::unique_ptr<State> m_state;
  bool m_isOpen = true;
};

} // namespace rattanweir::testing
