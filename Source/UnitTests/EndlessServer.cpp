#include "UnitTests/EndlessServer.h"

namespace pollenyoke::test
{

std::vector<endless_answer> endless_answers(const std::string& fields)
{
  const std::string ok = std::string("HTTP/1.1 200 OK\r\n").append(fields);
  const std::string chunked = std::string(ok).append("Transfer-Encoding: chunked\r\n\r\n");
  return {
      {"bytes that are not HTTP", "", "\x16\x03"},
      {"head without line ends", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"head of many fields", ok, "X-A: b\r\n"},
      {"body without length", std::string(ok).append("\r\n"), "x"},
      {"body of a huge length", std::string(ok).append("Content-Length: 9000000000\r\n\r\n"), "x"},
      {"chunk size without end", chunked, "0"},
      {"chunk extension without end", std::string(chunked).append("5;"), "x"},
      {"small chunks", chunked, "1\r\nx\r\n"},
      {"trailer without end", std::string(chunked).append("0\r\n"), "X-A: b\r\n"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"}};
}

} // namespace pollenyoke::test
