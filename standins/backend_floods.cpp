#include "backend_floods.h"

#include <map>

namespace skylarkwind {

namespace {

/// Bytes of one write; about 12 MB a second at the stand-in's tick of 5 ms.
constexpr std::size_t kFloodBytes = 64 * 1'024;
/// The same of a slow flood; about 96 KB a second.
constexpr std::size_t kSlowFloodBytes = 480;
constexpr std::string_view kSlowSuffix = "_slow";

std::string
Repeated(const std::string& aText)
{
  std::string bytes;
  while (bytes.size() < kFloodBytes) {
    bytes += aText;
  }
  return bytes;
}

std::string
Chunked(const std::string& aText)
{
  // 0x10000 is kFloodBytes.
  return "10000\r\n" + Repeated(aText).substr(0, kFloodBytes) + "\r\n";
}

} // namespace

std::optional<endless_answer>
FloodOf(std::string_view aName, const std::string& aHeaderLines)
{
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const auto chunked =
    ok + aHeaderLines + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::map<std::string_view, endless_answer> answers{
    { "endless_head", { ok, Repeated("X-More: value\r\n") } },
    { "endless_line", { ok + "X-Long: ", Repeated("x") } },
    { "endless_interim", { {}, Repeated("HTTP/1.1 102 Processing\r\n\r\n") } },
    { "endless_failure",
      { "HTTP/1.1 500 Failed\r\n" + aHeaderLines + "Connection: close\r\n\r\n", Repeated("x") } },
    { "endless_answer", { ok + aHeaderLines + "Connection: close\r\n\r\n", Repeated("x") } },
    { "endless_chunks", { chunked, Repeated("1\r\nx\r\n") } },
    { "endless_size", { chunked, Repeated("0") } },
    { "endless_event", { chunked + "5\r\ndata:\r\n", Chunked("x") } },
    { "endless_comments", { chunked, Chunked(": x\n\n") } },
    { "endless_trailer",
      { chunked + "14\r\nid: 1\ndata: token1\n\n\r\n0\r\n", Repeated("X-More: value\r\n") } },
  };
  const bool slow = aName.ends_with(kSlowSuffix);
  if (slow) {
    aName.remove_suffix(kSlowSuffix.size());
  }
  const auto found = answers.find(aName);
  if (found == answers.end()) {
    return std::nullopt;
  }
  auto answer = found->second;
  if (slow) {
    answer.mAgain.resize(kSlowFloodBytes);
  }
  return answer;
}

} // namespace skylarkwind
