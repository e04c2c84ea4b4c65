package intake

import (
	"errors"
	"io"
	"net/http"
)

// firstBytes is the size of the first buffer of a body; most bodies fit.
const firstBytes = 4 << 10

// ReadBody reads a body of at most limit bytes. Memory is taken for what has arrived, not for what was announced
// (announced is -1 for an unknown length), and reserved before it is taken. After a success the account holds
// the returned number of bytes until the caller releases them. The errors are ErrFull, *http.MaxBytesError and
// those of the reader.
func ReadBody(body io.Reader, announced, limit int64, account *Account) (data []byte, held int64, err error) {
	if announced > limit {
		return nil, 0, &http.MaxBytesError{Limit: limit}
	}
	// One more byte shows the end of the body, or that it is too long.
	most := limit + 1
	if announced >= 0 {
		most = announced + 1
	}
	for {
		if len(data) == cap(data) {
			if data, err = grow(data, most, account); err != nil {
				return nil, 0, err
			}
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == nil && int64(len(data)) <= limit {
			continue
		}
		if int64(len(data)) > limit {
			err = &http.MaxBytesError{Limit: limit}
		}
		if !errors.Is(err, io.EOF) {
			account.Release(int64(cap(data)))
			return nil, 0, err
		}
		return data, int64(cap(data)), nil
	}
}

// grow moves data to a buffer twice as large, of at most most bytes. On an error nothing of it stays reserved.
func grow(data []byte, most int64, account *Account) ([]byte, error) {
	old := int64(cap(data))
	size := max(2*old, firstBytes)
	if size+size/4 >= most {
		// The end of the body isn't worth another copy.
		size = most
	}
	if err := account.Reserve(size); err != nil {
		account.Release(old)
		return nil, err
	}
	larger := make([]byte, len(data), size)
	copy(larger, data)
	account.Release(old)
	return larger, nil
}
