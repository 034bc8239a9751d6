// Which input the message reader accepts and which it rejects.
#include "cuminswitch/Http1/message_reader.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace cuminswitch {
namespace {

class recording_sink : public message_sink {
 public:
  void OnHead(message_head value) override { head = std::move(value); }
  void OnBody(std::string_view data) override { body += data; }
  std::optional<message_head> head;
  std::string body;
};

struct reading {
  read_result result = read_result::kNeedMore;
  std::string body;
  std::optional<message_head> head;
  std::string rest;
};

reading Read(message_reader::kind kind,
             const std::string& text,
             size_t piece = std::string::npos) {
  recording_sink sink;
  message_reader reader(
      {.reads = kind, .max_head_size = 400, .max_body_size = 100}, sink);
  size_t at = 0;
  reading done;
  while (at < text.size() && done.result == read_result::kNeedMore) {
    size_t consumed = 0;
    done.result = reader.Read(
        std::string_view(text).substr(at, std::min(piece, text.size() - at)),
        consumed);
    at += consumed;
  }
  done.body = sink.body;
  done.head = sink.head;
  done.rest = text.substr(at);
  return done;
}

reading ReadRequest(const std::string& text) {
  return Read(message_reader::kind::kRequest, text);
}

reading ReadResponse(const std::string& text) {
  return Read(message_reader::kind::kResponse, text);
}

TEST(message_reader_test, ReadsRequestWithContentLength) {
  const reading done = ReadRequest(
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET");
  EXPECT_EQ(done.result, read_result::kMessageDone);
  EXPECT_EQ(done.head->method, "POST");
  EXPECT_EQ(done.head->target, "/a/b?c=d");
  EXPECT_EQ(done.body, "abc");
  EXPECT_EQ(done.rest, "GET");
  EXPECT_TRUE(done.head->keep_alive);
}

TEST(message_reader_test, ReadsChunkedBodyAtAnyFragmentation) {
  const std::string text =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n";
  for (size_t piece = 1; piece < text.size(); ++piece) {
    const reading done = Read(message_reader::kind::kRequest, text, piece);
    EXPECT_EQ(done.result, read_result::kMessageDone) << piece;
    EXPECT_EQ(done.body, "abc0123456789") << piece;
  }
}

// Guards against request smuggling: a caller delimits a body in two ways, the
// daemon and the upstream each use a different one, and a request hidden in the
// body is run.
TEST(message_reader_test, RejectsAmbiguousHeads) {
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  for (const std::string fields : {
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
           "Content-Length: 3\r\nContent-Length: 4\r\n",
           "Content-Length: 3\r\nContent-Length: 3\r\n",
           "Content-Length: +3\r\n",
           "Content-Length: 3, 3\r\n",
           "Content-Length: -1\r\n",
           "Content-Length: 0x3\r\n",
           "Content-Length: \r\n",
           "Content-Length: 99999999999999999999\r\n",
           "Content-Length : 3\r\n",
           "Transfer-Encoding: gzip\r\n",
           "Transfer-Encoding: gzip, chunked\r\n",
           "Transfer-Encoding: xchunked\r\n",
           "Name: a\r\n folded\r\n",
           "Name: a\rb\r\n",
           "Name: a\nOther: b\r\n",
           ": empty\r\n",
           "No colon\r\n",
           "Host: other\r\n",
       }) {
    EXPECT_EQ(ReadRequest(start + fields + "\r\nabc").result,
              read_result::kMalformed)
        << fields;
  }
}

TEST(message_reader_test, RejectsControlCharactersInFieldValues) {
  for (const char control : {'\0', '\1', '\x7f'}) {
    std::string text = "GET /a HTTP/1.1\r\nHost: h\r\nName: a?b\r\n\r\n";
    text[text.find('?')] = control;
    EXPECT_EQ(ReadRequest(text).result, read_result::kMalformed);
  }
}

TEST(message_reader_test, RejectsMalformedRequestLines) {
  for (const std::string line :
       {"GET /a", "GET /a HTTP/2.0", "GET a HTTP/1.1", "GET  /a HTTP/1.1",
        "G@T /a HTTP/1.1", "GET /a b HTTP/1.1", "\x16\x03\x01 x HTTP/1.1"}) {
    EXPECT_EQ(ReadRequest(line + "\r\nHost: h\r\n\r\n").result,
              read_result::kMalformed)
        << line;
  }
  EXPECT_EQ(ReadRequest("GET /a HTTP/1.1\r\n\r\n").result,
            read_result::kMalformed)
      << "a request without Host";
}

TEST(message_reader_test, RejectsBareLineFeedBeforeTheHeadEnds) {
  EXPECT_EQ(ReadRequest("GET /a HTTP/1.1\nHost: h\n").result,
            read_result::kMalformed);
}

TEST(message_reader_test, RejectsMalformedChunkSizes) {
  const std::string start =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string size : {"12345678901234567\r\n", "+3\r\nabc\r\n",
                                 "-3\r\n", "x\r\n", "\r\n", "3\nabc\r\n"}) {
    EXPECT_EQ(ReadRequest(start + size).result, read_result::kMalformed)
        << size;
  }
}

TEST(message_reader_test, EnforcesSizeLimits) {
  EXPECT_EQ(ReadRequest("GET /" + std::string(500, 'a')).result,
            read_result::kHeadTooLarge);
  EXPECT_EQ(ReadRequest("POST /a HTTP/1.1\r\nHost: h\r\n"
                        "Content-Length: 101\r\n\r\n")
                .result,
            read_result::kBodyTooLarge);
  EXPECT_EQ(ReadRequest("POST /a HTTP/1.1\r\nHost: h\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n65\r\n" +
                        std::string(101, 'a') + "\r\n0\r\n\r\n")
                .result,
            read_result::kBodyTooLarge);
}

TEST(message_reader_test, IgnoresUpgradeRequest) {
  const reading done = ReadRequest(
      "POST /a HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\n"
      "Upgrade: websocket\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_EQ(done.result, read_result::kMessageDone);
  EXPECT_EQ(done.body, "abc");
}

TEST(message_reader_test, SkipsInterimResponses) {
  const reading done = ReadResponse(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Content-Length: 2\r\n\r\nok");
  EXPECT_EQ(done.result, read_result::kMessageDone);
  EXPECT_EQ(done.head->status, 200U);
  EXPECT_EQ(done.body, "ok");
}

// Guards against an invalid status that reaches a caller, or that is skipped
// like an interim response, so that its body is read as the response.
TEST(message_reader_test, RejectsInvalidStatuses) {
  const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const std::string status : {"000", "020", "099", "600", "999", "20", "2",
                                   "0200", "2000", "+20", "2 0", "", "101"}) {
    for (const std::string& head : {"HTTP/1.1 " + status + " Odd\r\n\r\n",
                                    "HTTP/1.1 " + status + "\r\n\r\n"}) {
      EXPECT_EQ(ReadResponse(head + inner).result, read_result::kMalformed)
          << head;
    }
  }
  for (const std::string status : {"200", "299", "308", "451", "599"}) {
    const reading done =
        ReadResponse("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(done.result, read_result::kMessageDone) << status;
    EXPECT_EQ(std::to_string(done.head->status), status);
  }
}

// Guards against a body where none is allowed being read, by this reader or by
// a caller, as the next response.
TEST(message_reader_test, RejectsBodiesThatAreNotAllowed) {
  const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  for (const std::string status : {"100", "102", "199", "204"}) {
    std::string with_length = "HTTP/1.1 " + status;
    with_length.append(" Odd\r\nContent-Length: ")
        .append(std::to_string(inner.size()))
        .append("\r\n\r\n")
        .append(inner);
    EXPECT_EQ(ReadResponse(with_length).result, read_result::kMalformed);
    std::string chunked = "HTTP/1.1 " + status;
    chunked.append(
        " Odd\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    EXPECT_EQ(ReadResponse(chunked).result, read_result::kMalformed);
  }
}

TEST(message_reader_test, ResponsesWithoutBodyEndWithTheirHead) {
  for (const std::string head :
       {"HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"}) {
    const reading done = ReadResponse(head + "abcde");
    EXPECT_EQ(done.result, read_result::kMessageDone) << head;
    EXPECT_EQ(done.body, "") << head;
  }
}

// Guards against interim responses without end.
TEST(message_reader_test, EnforcesHeadLimitOnInterimResponses) {
  std::string text;
  for (int i = 0; i < 200; ++i) {
    text += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  EXPECT_EQ(ReadResponse(text).result, read_result::kHeadTooLarge);
}

TEST(message_reader_test, ResponseWithoutLengthEndsWithItsConnection) {
  recording_sink sink;
  message_reader reader({.reads = message_reader::kind::kResponse}, sink);
  size_t consumed = 0;
  EXPECT_EQ(reader.Read("HTTP/1.1 200 OK\r\n\r\nabc", consumed),
            read_result::kNeedMore);
  EXPECT_TRUE(sink.head->ends_with_connection);
  EXPECT_EQ(reader.ReadEnd(), read_result::kMessageDone);
  EXPECT_EQ(sink.body, "abc");
}

TEST(message_reader_test, TruncatedResponseIsNotComplete) {
  for (const std::string text :
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nContent"}) {
    recording_sink sink;
    message_reader reader({.reads = message_reader::kind::kResponse}, sink);
    size_t consumed = 0;
    EXPECT_EQ(reader.Read(text, consumed), read_result::kNeedMore);
    EXPECT_NE(reader.ReadEnd(), read_result::kMessageDone) << text;
  }
}

// Guards against a response whose upstream stopped anywhere before its end, in
// the head, a chunk size or the trailers, being taken for a complete one.
TEST(message_reader_test, NoPartOfAResponseIsComplete) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-First: s\r\n";
  for (const std::string& text : std::vector<std::string>{
           head + "Content-Length: 12\r\n\r\nabcdefghijkl",
           "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Name: v\r\n\r\n"
           "abcdefghijkl",
           head + "Transfer-Encoding: chunked\r\n\r\n00a\r\nabcdefghij\r\n"
                  "0\r\nX-Trailer: t\r\n\r\n",
           head + "Content-Length: 0\r\n\r\n"}) {
    EXPECT_EQ(ReadResponse(text).result, read_result::kMessageDone);
    for (size_t size = 0; size < text.size(); ++size) {
      recording_sink sink;
      message_reader reader({.reads = message_reader::kind::kResponse}, sink);
      size_t consumed = 0;
      EXPECT_NE(reader.Read(text.substr(0, size), consumed),
                read_result::kMessageDone);
      EXPECT_NE(reader.ReadEnd(), read_result::kMessageDone)
          << text.substr(0, size);
    }
  }
}

// The reader must neither crash nor loop on arbitrary bytes from a faulty
// upstream. The seed is fixed, so failures are reproducible.
TEST(message_reader_test, HandlesRandomlyCorruptedResponses) {
  const std::string good =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
      "X-Name: value\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  uint32_t state = 1;
  const auto next = [&state] {
    state = state * 1664525 + 1013904223;
    return state >> 8;
  };
  for (int round = 0; round < 20'000; ++round) {
    std::string text = good;
    for (int changes = 0; changes < 3; ++changes) {
      text[next() % text.size()] = static_cast<char>(next());
    }
    const reading done =
        Read(message_reader::kind::kResponse, text, 1 + next() % text.size());
    EXPECT_LE(done.body.size(), text.size());
  }
}

}  // namespace
}  // namespace cuminswitch
