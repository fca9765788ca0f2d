/** A response whose caller takes nothing until it is told to. */
export class UnreadResponse {
  writableLength = 0;

  writes = 0;

  private taken: (() => void)[] = [];

  writeHead(): void {
    this.writableLength += 1;
  }

  write(bytes: Buffer, onTaken: () => void): boolean {
    this.writes += 1;
    this.writableLength += bytes.length;
    this.taken.push(onTaken);
    return false;
  }

  /** Takes all that has been written, and what is written then, until there is no more. */
  takeAll(): void {
    while (this.taken.length > 0) {
      const { taken } = this;
      this.taken = [];
      this.writableLength = 0;
      taken.forEach((onTaken) => onTaken());
    }
  }
}
