package codec

// Constructors of the primitive types (section 1.6). A suffix of 0 stands for an empty or zero value without data. A
// suffix of 8 or 32 at a type of variable width is the width of the size field in bits.
const (
	constructorDescribed  = 0x00
	constructorNull       = 0x40
	constructorTrue       = 0x41
	constructorFalse      = 0x42
	constructorUint0      = 0x43
	constructorUlong0     = 0x44
	constructorList0      = 0x45
	constructorUbyte      = 0x50
	constructorByte       = 0x51
	constructorSmallUint  = 0x52
	constructorSmallUlong = 0x53
	constructorSmallInt   = 0x54
	constructorSmallLong  = 0x55
	constructorBoolean    = 0x56
	constructorUshort     = 0x60
	constructorShort      = 0x61
	constructorUint       = 0x70
	constructorInt        = 0x71
	constructorFloat      = 0x72
	constructorChar       = 0x73
	constructorDecimal32  = 0x74
	constructorUlong      = 0x80
	constructorLong       = 0x81
	constructorDouble     = 0x82
	constructorTimestamp  = 0x83
	constructorDecimal64  = 0x84
	constructorDecimal128 = 0x94
	constructorUUID       = 0x98
	constructorBinary8    = 0xa0
	constructorString8    = 0xa1
	constructorSymbol8    = 0xa3
	constructorBinary32   = 0xb0
	constructorString32   = 0xb1
	constructorSymbol32   = 0xb3
	constructorList8      = 0xc0
	constructorList32     = 0xd0
	constructorMap32      = 0xd1
	constructorArray32    = 0xf0
)
