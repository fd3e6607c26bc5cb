"""Model specifications, checked exhaustively within their bounds."""
