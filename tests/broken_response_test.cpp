/**
 * @file broken_response_test.cpp
 * A response that is cut off at any byte is never taken for a complete one,
 * whatever its framing; bytes after its end are not part of it.
 */
#include "http/parser.h"

#include <gtest/gtest.h>

namespace waxwing {
namespace {

struct Framing {
  const char *Name;
  std::string Bytes;
  /// The response may end with the connection, so that only its head shows
  /// where a cut is certain.
  bool EndsWithConnection;
};

std::vector<Framing> framings() {
  return {{"length",
           "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 12\r\n\r\n"
           "hello, world",
           false},
          {"empty body", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false},
          {"chunks",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "5\r\nhello\r\n7;x=1\r\n, world\r\n0\r\n\r\n",
           false},
          {"chunks with trailer",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "5\r\nhello\r\n0\r\nA: b\r\n\r\n",
           false},
          {"end of connection",
           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello, world", true}};
}

/// Feeds @p bytes in pieces of @p piece bytes.
http::ParseState feed(http::ResponseParser &parser, std::string_view bytes,
                      std::size_t piece) {
  std::string unparsed;
  http::ParseState state = http::ParseState::NeedMore;
  for (std::size_t at = 0;
       at < bytes.size() && state == http::ParseState::NeedMore; at += piece) {
    unparsed += bytes.substr(at, piece);
    std::size_t consumed = 0;
    state = parser.put(unparsed, consumed);
    unparsed.erase(0, consumed);
  }
  return state;
}

TEST(BrokenResponse, CutAtAnyByteIsNotComplete) {
  for (const Framing &framing : framings())
    for (const std::size_t piece :
         {std::size_t{1}, std::size_t{3}, framing.Bytes.size()})
      for (std::size_t cut = 0; cut < framing.Bytes.size(); ++cut) {
        http::ResponseParser parser({}, false);
        const std::string_view part =
            std::string_view(framing.Bytes).substr(0, cut);
        EXPECT_NE(feed(parser, part, piece), http::ParseState::Done)
            << framing.Name << " cut at " << cut;
        const bool mayBeWhole =
            framing.EndsWithConnection && parser.isHeadComplete();
        if (!mayBeWhole) {
          EXPECT_NE(parser.finishAtEof(), http::ParseState::Done)
              << framing.Name << " cut at " << cut;
        }
      }
}

TEST(BrokenResponse, WholeResponseIsComplete) {
  for (const Framing &framing : framings())
    for (const std::size_t piece :
         {std::size_t{1}, std::size_t{5}, framing.Bytes.size()}) {
      http::ResponseParser parser({}, false);
      const http::ParseState state = feed(parser, framing.Bytes, piece);
      EXPECT_EQ(framing.EndsWithConnection ? parser.finishAtEof() : state,
                http::ParseState::Done)
          << framing.Name;
    }
}

TEST(BrokenResponse, BytesBehindTheEndAreNotConsumed) {
  for (const Framing &framing : framings()) {
    if (framing.EndsWithConnection)
      continue;
    http::ResponseParser parser({}, false);
    std::size_t consumed = 0;
    EXPECT_EQ(parser.put(framing.Bytes + framing.Bytes, consumed),
              http::ParseState::Done);
    EXPECT_EQ(consumed, framing.Bytes.size()) << framing.Name;
  }
}

} // namespace
} // namespace waxwing
