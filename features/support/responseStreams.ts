import fc from 'fast-check';
import { ownAnswerBody, ownId } from './foreignResponses.js';

/** A part of a response's bytes; responses are interleaved only where no body is under way. */
interface WirePart {
  readonly text: string;
  readonly isBody: boolean;
}

/** Properties of one generated response. */
interface ResponseShape {
  readonly isOwn: boolean;
  readonly isRefusal: boolean;
  readonly hasId: boolean;
  readonly framing: 'length' | 'chunks' | 'none';
  /** Difference of the stated length to the body's; 0 for responses to the waiting request. */
  readonly excess: number;
  /** Whether the id comes after other headers. */
  readonly isIdLast: boolean;
}

/** Bytes that an endpoint writes, in pieces, and what it does then. */
export interface ResponseStream {
  readonly pieces: readonly string[];
  readonly end: 'open' | 'close' | 'reset';
  /** Whether it is an answer to the waiting request after at most one response with a proven end. */
  readonly isProven: boolean;
}

const bodies = { own: ownAnswerBody, foreign: 'stuvwxyz' } as const;
const foreignIds = ['other-1', 'other-2', 'own-22', 'own-'] as const;
const interim = 'HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n';

function encodeBody({ isOwn, framing, excess }: ResponseShape): WirePart[] {
  const body = isOwn ? bodies.own : bodies.foreign;
  if (framing === 'none')
    return [
      { text: '\r\n', isBody: false },
      { text: body, isBody: true },
    ];
  if (framing === 'length')
    return [
      { text: `Content-Length: ${body.length + excess}\r\n\r\n`, isBody: false },
      { text: body, isBody: true },
    ];
  return [
    { text: 'Transfer-Encoding: chunked\r\n\r\n3\r\n', isBody: false },
    { text: body.slice(0, 3), isBody: true },
    { text: '\r\n5\r\n', isBody: false },
    { text: body.slice(3), isBody: true },
    { text: '\r\n0\r\n\r\n', isBody: false },
  ];
}

function encodeResponse(shape: ResponseShape, foreignId: string): WirePart[] {
  const { isOwn, isRefusal, hasId, isIdLast } = shape;
  const status = isRefusal ? '503 Full' : '200 OK';
  const id = hasId ? `Laburnumstream-Request-Id: ${isOwn ? ownId : foreignId}\r\n` : '';
  const refusal = isRefusal ? 'Laburnumstream-Not-Executed: 1\r\n' : '';
  const other = `Server: any\r\n${refusal}`;
  const head = `HTTP/1.1 ${status}\r\n${isIdLast ? other + id : id + other}`;
  return [{ text: head, isBody: false }, ...encodeBody(shape)];
}

const joinParts = (parts: readonly WirePart[]): string => parts.map(({ text }) => text).join('');

/** Inserts text into a response at a position that is not within its body. */
function interleave(parts: readonly WirePart[], text: string, position: number): string {
  const places = parts.flatMap((part, index) =>
    part.isBody ? [] : Array.from(part.text, (_character, at) => [index, at] as const),
  );
  const [chosen, at] = places[position % places.length]!;
  return parts
    .map((part, index) =>
      index === chosen ? part.text.slice(0, at) + text + part.text.slice(at) : part.text,
    )
    .join('');
}

function cut(text: string, positions: readonly number[]): string[] {
  const ends = [...new Set(positions.map((position) => position % text.length))].filter(Boolean);
  const bounds = [0, ...ends.toSorted((first, second) => first - second), text.length];
  return bounds.slice(1).map((end, index) => text.slice(bounds[index], end));
}

/** Responses to the waiting request are complete and, unlike an earlier one, never refuse it. */
const ownShapes: fc.Arbitrary<ResponseShape> = fc.record({
  isOwn: fc.constant(true),
  isRefusal: fc.constant(false),
  hasId: fc.boolean(),
  framing: fc.constantFrom('length', 'chunks'),
  excess: fc.constant(0),
  isIdLast: fc.boolean(),
});

const foreignShapes: fc.Arbitrary<ResponseShape> = fc.record({
  isOwn: fc.constant(false),
  isRefusal: fc.boolean(),
  hasId: fc.oneof({ weight: 4, arbitrary: fc.constant(true) }, fc.constant(false)),
  framing: fc.constantFrom('length', 'length', 'chunks', 'none'),
  excess: fc.oneof(fc.constant(0), fc.integer({ min: -8, max: 200 })),
  isIdLast: fc.boolean(),
});

/** A refusal without an id can't be told from a refusal of the waiting request. */
const isTellable = ({ isRefusal, hasId }: ResponseShape): boolean => hasId || !isRefusal;

const foreignParts = fc
  .tuple(foreignShapes.filter(isTellable), fc.constantFrom(...foreignIds))
  .map(([shape, id]) => encodeResponse(shape, id));

const provenParts = fc
  .tuple(foreignShapes, fc.constantFrom('length', 'chunks'), fc.constantFrom(...foreignIds))
  .map(([shape, framing, id]) => encodeResponse({ ...shape, framing, hasId: true, excess: 0 }, id));

const ownParts = ownShapes.map((shape) => encodeResponse(shape, ''));

const truncatedForeign = fc
  .tuple(foreignParts, fc.nat())
  .map(([parts, position]) => joinParts(parts).slice(0, position % joinParts(parts).length));

const interleaved = fc
  .tuple(fc.oneof(ownParts, foreignParts), fc.oneof(ownParts, foreignParts), fc.nat())
  .map(([outer, inner, position]) => interleave(outer, joinParts(inner), position));

const segments = fc.oneof(
  { weight: 4, arbitrary: ownParts.map(joinParts) },
  { weight: 4, arbitrary: foreignParts.map(joinParts) },
  { weight: 2, arbitrary: foreignParts.map((parts) => joinParts(parts).repeat(2)) },
  { weight: 2, arbitrary: truncatedForeign },
  { weight: 2, arbitrary: interleaved },
  { weight: 1, arbitrary: fc.constantFrom(interim, '\r\n') },
);

const anyTexts = fc
  .array(segments, { minLength: 1, maxLength: 4 })
  .map((texts) => ({ text: texts.join(''), isProven: false }))
  .filter(({ text }) => text.length > 0);

const provenTexts = fc
  .tuple(
    fc.constantFrom('', interim),
    fc.option(provenParts),
    fc.constantFrom('', interim),
    ownShapes.map((shape) => encodeResponse({ ...shape, hasId: true }, '')),
  )
  .map(([first, foreign, second, own]) => ({
    text: `${first}${joinParts(foreign ?? [])}${second}${joinParts(own)}`,
    isProven: true,
  }));

/** Byte streams that an endpoint may send after a request: whole, cut, doubled and mixed responses. */
export const responseStreams: fc.Arbitrary<ResponseStream> = fc
  .tuple(
    fc.oneof({ weight: 4, arbitrary: anyTexts }, provenTexts),
    fc.array(fc.nat(), { maxLength: 6 }),
    fc.constantFrom('open', 'close', 'reset'),
  )
  .map(([{ text, isProven }, positions, end]) => ({
    pieces: cut(text, positions),
    end: isProven && end === 'reset' ? ('open' as const) : end,
    isProven,
  }));
