#include "rattanweir/base/asio/asio.h"

#include "rattanweir/base/random/random.h"
#include "testing/client_bench/client_bench.h"

#include <catch2/catch.hpp>

#include <boost/asio/detached.hpp>

#include <array>
#include <cstdlib>
#include <optional>

namespace rattanweir {
namespace {

constexpr int kResponsesPerSeed = 150;
// More than the kernel buffers of a connection hold.
constexpr std::size_t kLongUpload = 12'000'000;

enum class Framing
{
  Length,
  Chunks,
  Close,
};

enum class End
{
  Close,
  Reset,
};

// A response of a server, as its author knows it.
struct Scripted
{
  unsigned m_status = 200;
  Framing m_framing = Framing::Length;
  std::string m_head;
  // Each piece is a chunk of its own.
  std::vector<std::string> m_pieces;
  std::string m_bytes;
  // How many of the bytes are sent.
  std::size_t m_sent = 0;
  End m_end = End::Close;
  bool m_isUploadCut = false;

  std::string Body() const
  {
    std::string body;
    for (const std::string& piece : m_pieces) {
      body += piece;
    }
    return body;
  }

  // Returns the body that the client may present as complete; nullopt if it may
  // present none.
  std::optional<std::string> WholeBody() const
  {
    if (m_status < 200 || m_status > 599) {
      return std::nullopt;
    }
    const bool isFramed = m_framing != Framing::Close;
    if (isFramed) {
      return m_sent == m_bytes.size() ? std::optional(Body()) : std::nullopt;
    }
    if (m_sent < m_head.size() || m_end == End::Reset || m_isUploadCut) {
      return std::nullopt;
    }
    return m_bytes.substr(m_head.size(), m_sent - m_head.size());
  }
};

std::string
HexText(std::size_t aNumber)
{
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  do {
    text.insert(text.begin(), kDigits[aNumber % 16]);
    aNumber /= 16;
  } while (aNumber > 0);
  return text;
}

class Author
{
public:
  explicit Author(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  Scripted Write()
  {
    constexpr std::array kStatuses = { 200U, 201U, 404U, 500U, 599U, 0U,
                                       99U,  600U, 999U, 101U, 200U, 200U };
    Scripted script{ .m_status = kStatuses[Draw(kStatuses.size())],
                     .m_framing = static_cast<Framing>(Draw(3)),
                     .m_end = static_cast<End>(Draw(2)),
                     .m_isUploadCut = Draw(8) == 0 };
    for (std::size_t piece = Draw(4); piece > 0; --piece) {
      script.m_pieces.emplace_back(1 + Draw(Draw(3) == 0 ? 9'000 : 20), 'x');
    }
    if (Draw(4) == 0) {
      script.m_head = "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n";
    }
    const std::string status = std::to_string(1'000 + script.m_status);
    script.m_head += "HTTP/1.1 " + status.substr(1) + " R\r\na: b\r\n";
    AddBody(script);
    script.m_sent = script.m_bytes.size();
    if (Draw(3) > 0) {
      script.m_sent = Draw(script.m_bytes.size() + 1);
    }
    return script;
  }

private:
  std::size_t Draw(std::size_t aCount)
  {
    return UniformIndex(m_random, aCount);
  }

  static void AddBody(Scripted& aScript)
  {
    const std::string body = aScript.Body();
    if (aScript.m_framing == Framing::Length) {
      aScript.m_head +=
        "Content-Length: " + std::to_string(body.size()) + "\r\n";
    } else if (aScript.m_framing == Framing::Chunks) {
      aScript.m_head += "Transfer-Encoding: chunked\r\n";
    }
    aScript.m_head += "\r\n";
    aScript.m_bytes = aScript.m_head;
    if (aScript.m_framing != Framing::Chunks) {
      aScript.m_bytes += body;
      return;
    }
    for (const std::string& piece : aScript.m_pieces) {
      aScript.m_bytes += HexText(piece.size()) + ";e=1\r\n" + piece + "\r\n";
    }
    aScript.m_bytes += "0\r\nt: 1\r\n\r\n";
  }

  RandomEngine m_random;
};

// Returns the body that the client presents as complete, or nullopt.
std::optional<std::string>
ReadBodyOf(const Scripted& aScript)
{
  ClientBench bench;
  HttpUpstream upstream({ .m_executor = bench.m_context.get_executor(),
                          .m_acceptsCloseDelimitedResponses = true });
  std::optional<std::string> body;
  bool isDone = false;
  bench.Run([&]() -> Task<void> {
    const auto send = [&]() -> Task<void> {
      OutboundRequest request = bench.Request(
        std::string(aScript.m_isUploadCut ? kLongUpload : 0, 'b'));
      const auto exchange = co_await upstream.Send(
        bench.m_listener.LocalEndpoint(), std::move(request), bench.m_cancel);
      co_await exchange->ReadHead();
      body = co_await ReadBody(*exchange);
    };
    asio::co_spawn(
      bench.m_context,
      [&]() -> Task<void> {
        co_await CatchRequestError(send);
        isDone = true;
      },
      asio::detached);
    RawPeer server = co_await bench.m_listener.Accept();
    co_await server.ReadUntil("\r\n\r\n");
    const std::string sent = aScript.m_bytes.substr(0, aScript.m_sent);
    if (aScript.m_end == End::Close) {
      server.WriteAndClose(sent);
    } else {
      server.WriteAndReset(sent);
    }
    co_await WaitUntil([&] { return isDone; });
  });
  return body;
}

std::uint64_t
Seeds()
{
  const char* text = std::getenv("RATTANWEIR_FUZZ_SEEDS");
  return text == nullptr ? 4 : std::strtoull(text, nullptr, 10);
}

// Guards against a part of a response, or what is no response, that was
// presented as complete.
TEST_CASE("a response is complete exactly if its server sent it entirely")
{
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    Author author(seed);
    for (int number = 0; number < kResponsesPerSeed; ++number) {
      const Scripted script = author.Write();
      INFO("seed " << seed << ", response " << number << ", sent "
                   << script.m_sent << " of " << script.m_bytes.size()
                   << (script.m_end == End::Reset ? ", reset" : ", closed")
                   << (script.m_isUploadCut ? ", long upload" : "") << "\n"
                   << script.m_head);
      CHECK((ReadBodyOf(script) == script.WholeBody()));
    }
  }
}

} // namespace
} // namespace rattanweir
