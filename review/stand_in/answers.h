// What the stand-in engines answer, known to engines and clients alike.

#ifndef REVIEW_STAND_IN_ANSWERS_H_
#define REVIEW_STAND_IN_ANSWERS_H_

#include <string>

#include "azuregw/base/clock.h"

namespace azuregw::review {

// A stream of 60 events lasts 3 s.
constexpr int kStreamPieces = 60;
constexpr Milliseconds kStreamPause{50};
// A plain answer of 800 bytes takes 200 ms.
constexpr int kPlainPieces = 8;
constexpr Milliseconds kPlainPause{25};
constexpr size_t kPlainPieceBytes = 100;

// Requests whose body begins with kLargePrefix get a plain answer of this size, with its length.
constexpr char kLargePrefix[] = "large";
constexpr size_t kLargeAnswerBytes = size_t{5} << 20;

inline bool AsksForLargeAnswer(const std::string& body) { return body.rfind(kLargePrefix, 0) == 0; }

// Returns one event of the stream that answers a request with this body.
inline std::string EventPiece(const std::string& body, int event) {
  const std::string number = std::to_string(event);
  return "id: " + number + "\ndata: token " + number + " of " + body + "\n\n";
}

// Returns one piece of the plain answer to a request with this body.
inline std::string PlainPiece(const std::string& body, int piece) {
  std::string text = std::to_string(piece) + " of " + body + " ";
  text.resize(kPlainPieceBytes, '.');
  return text;
}

// Returns the whole answer to a request with this body.
inline std::string WholeAnswer(const std::string& body, bool stream) {
  if (AsksForLargeAnswer(body)) {
    return std::string(kLargeAnswerBytes, 'a');
  }
  std::string text;
  for (int piece = 1; piece <= (stream ? kStreamPieces : kPlainPieces); ++piece) {
    text += stream ? EventPiece(body, piece) : PlainPiece(body, piece);
  }
  return text;
}

}  // namespace azuregw::review

#endif  // REVIEW_STAND_IN_ANSWERS_H_
