/** A part of a body in chunks. */
type ChunkPart = 'size' | 'data' | 'dataEnd' | 'end';

const lineFeed = 0x0a;
const sizePattern = /^[0-9A-Fa-f]{1,8}\r\n$/;
const lineBreak = '\r\n';
const hexadecimal = 16;
/** Length of the longest line of a chunk's size, in bytes. */
const maxSizeLineBytes = 10;

/** Finds the end of a body that is not delivered. Extensions of chunks and trailers prove no end. */
export class ForeignBody {
  /** Bytes of the body, or of the current chunk, that have not arrived. */
  private left: number;

  private part: ChunkPart;

  /** The current line of a body in chunks, as far as it has arrived. */
  private line = '';

  private hasEnded = false;

  private isBroken = false;

  constructor(
    /** Number of bytes; undefined for a body in chunks. */
    private readonly bodyBytes: number | undefined,
  ) {
    this.left = bodyBytes ?? 0;
    this.part = 'size';
    this.hasEnded = bodyBytes === 0;
  }

  /** Whether its last byte has arrived. */
  get isComplete(): boolean {
    return this.hasEnded;
  }

  /** Whether bytes arrived that are not of a body in chunks, so that its end is not known. */
  get isInvalid(): boolean {
    return this.isBroken;
  }

  /** Takes the bytes that belong to the body, and returns their number. */
  take(bytes: Buffer): number {
    let at = 0;
    while (at < bytes.length && !this.hasEnded && !this.isBroken) {
      const isData = this.bodyBytes !== undefined || this.part === 'data';
      at += isData ? this.takeData(bytes.length - at) : this.takeLine(bytes.subarray(at));
    }
    return at;
  }

  private takeData(available: number): number {
    const taken = Math.min(this.left, available);
    this.left -= taken;
    if (this.left > 0) return taken;
    if (this.bodyBytes === undefined) this.part = 'dataEnd';
    else this.hasEnded = true;
    return taken;
  }

  private takeLine(bytes: Buffer): number {
    const end = bytes.indexOf(lineFeed) + 1;
    const taken = Math.min(end || bytes.length, maxSizeLineBytes + 1);
    this.line += bytes.toString('latin1', 0, taken);
    if (this.line.length > maxSizeLineBytes) this.isBroken = true;
    else if (end > 0) this.endLine();
    return taken;
  }

  private endLine(): void {
    const { line, part } = this;
    this.line = '';
    if (part === 'size') {
      this.isBroken = !sizePattern.test(line);
      this.left = Number.parseInt(line, hexadecimal);
      this.part = this.left === 0 ? 'end' : 'data';
      return;
    }
    this.isBroken = line !== lineBreak;
    if (part === 'end') this.hasEnded = !this.isBroken;
    this.part = 'size';
  }
}
