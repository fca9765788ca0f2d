/** Headers of a response by their names in lower case. */
export type FramedHeaders = Readonly<Record<string, string | string[]>>;

/** The head of a response, which proves where the response ends. */
export interface FramedHead {
  readonly headers: FramedHeaders;
  /** Number of bytes of its body; undefined for a body in chunks. */
  readonly bodyBytes: number | undefined;
}

const finalStatusPattern = /^HTTP\/1\.1 [2-5]\d\d( [\t\x20-\x7e\x80-\xff]*)?$/;
const interimStatusPattern = /^HTTP\/1\.1 1\d\d( [\t\x20-\x7e\x80-\xff]*)?$/;
/** Responses that have no body although their heads may state a length. */
const emptyStatusPattern = /^HTTP\/1\.1 (204|304)\b/;
const headerPattern = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t\x20-\x7e\x80-\xff]*)$/;
/** Larger lengths are not exact. */
const lengthPattern = /^\d{1,15}$/;
const outerBlanks = /^[\t ]+|[\t ]+$/g;
const lineBreak = '\r\n';

/** A status line; within a header or a reason it shows that two heads have run into one. */
const nestedStatusPattern = /HTTP\/1\.[01] \d{3}/;

/** Whether a part of a head contains the start of another response. */
export function containsStatusLine(text: string): boolean {
  return nestedStatusPattern.test(text);
}

/** Returns the headers; undefined if one of the lines is not exactly a header. */
function parseHeaders(lines: readonly string[]): FramedHeaders | undefined {
  const headers: Record<string, string | string[]> = Object.create(null);
  for (const line of lines) {
    const [, name, text = ''] = headerPattern.exec(line) ?? [];
    if (name === undefined || containsStatusLine(text)) return undefined;
    const value = text.replace(outerBlanks, '');
    const key = name.toLowerCase();
    const earlier = headers[key];
    headers[key] = earlier === undefined ? value : [earlier, value].flat();
  }
  return headers;
}

/** Whether bytes, which end with an empty line, are exactly the head of an interim response (1xx). */
export function isInterimHead(bytes: Buffer): boolean {
  const [statusLine = '', ...lines] = bytes.toString('latin1').slice(0, -4).split(lineBreak);
  return interimStatusPattern.test(statusLine) && parseHeaders(lines) !== undefined;
}

/**
 * Parses bytes, which end with an empty line, as the head of a final response. Returns undefined unless
 * each byte is as the standard says and exactly one header, which is not repeated, frames the body.
 */
export function parseFramedHead(bytes: Buffer): FramedHead | undefined {
  const [statusLine = '', ...lines] = bytes.toString('latin1').slice(0, -4).split(lineBreak);
  if (!finalStatusPattern.test(statusLine) || emptyStatusPattern.test(statusLine)) return undefined;
  if (containsStatusLine(statusLine.slice(1))) return undefined;
  const headers = parseHeaders(lines);
  if (!headers) return undefined;
  const { 'content-length': length, 'transfer-encoding': coding } = headers;
  if (length === undefined)
    return coding === 'chunked' ? { headers, bodyBytes: undefined } : undefined;
  if (coding !== undefined || typeof length !== 'string' || !lengthPattern.test(length))
    return undefined;
  return { headers, bodyBytes: Number(length) };
}
