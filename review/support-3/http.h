// Minimal blocking HTTP/1.1 over loopback sockets for the cases of the third
// review: one message at a time, bodies with a length or in chunks.
//
//   Connection connection = Connection::Open(port);
//   connection.Send(FormatRequest({ .m_method = "GET", .m_target = "/a/" }));
//   const std::optional<Message> answer = connection.Read(seconds(3));

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Milliseconds = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
  // Method and target of a request, or version and status of a response.
  std::string m_first;
  std::string m_second;
  Headers m_headers;
  std::string m_body;

  // Returns an empty text if the field is missing.
  std::string Header(const std::string& aName) const;
  int Status() const;
};

struct Request
{
  std::string m_method;
  std::string m_target;
  Headers m_headers;
  std::string m_body;
  // Sends the body in chunks instead of with a length.
  bool m_isChunked = false;
};

// A connected socket; closed by the destructor.
class Connection
{
public:
  explicit Connection(int aSocket);
  ~Connection();
  Connection(Connection&& aOther) noexcept;
  Connection& operator=(Connection&& aOther) noexcept;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns nullopt if nobody accepts connections at the port.
  static std::optional<Connection> Open(std::uint16_t aPort);

  // Returns false if the connection broke.
  bool Send(const std::string& aBytes) const;

  // Returns nullopt if the peer closed the connection or the time is over
  // before the message is complete. `aKeepsBody` = false discards the body.
  std::optional<Message> Read(Milliseconds aTimeout, bool aKeepsBody = true);

  // Returns whether the peer has closed the connection or it has broken.
  bool IsClosed() const;

  // Ends reads and writes that other threads wait for.
  void ShutDown() const;

private:
  bool Fill(Milliseconds aTimeout);
  bool ReadBytes(std::size_t aCount, Milliseconds aTimeout, std::string* aBody);
  bool ReadLine(std::string& aLine, Milliseconds aTimeout);
  bool ReadChunks(Milliseconds aTimeout, std::string* aBody);

  int m_socket = -1;
  std::string m_unread;
};

// Accepts connections and runs the handler for each on a thread of its own.
// Listens until the process ends.
class Listener
{
public:
  explicit Listener(std::function<void(Connection&)> aHandler);

  std::uint16_t Port() const { return m_port; }

private:
  std::uint16_t m_port = 0;
};

// Returns a port that was free a moment ago, another one each time.
std::uint16_t
FreePort();

std::string
FormatRequest(const Request& aRequest);

std::string
FormatResponse(int aStatus, const Headers& aHeaders, const std::string& aBody);

std::string
Address(std::uint16_t aPort);

} // namespace review
